package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to record.txt.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecorder(path string) *recorder {
	file, err := os.Create(path)
	if err != nil {
		cannotRun("creating the record: %v", err)
	}
	return &recorder{file: file, started: time.Now()}
}

// at returns the time since the start of the recording.
func (r *recorder) at() time.Duration { return time.Since(r.started) }

func (r *recorder) log(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", r.at().Seconds(), fmt.Sprintf(format, values...))
}

// say writes a line to the record and to the standard output.
func (r *recorder) say(format string, values ...any) {
	r.log(format, values...)
	fmt.Printf("%8.3f %s\n", r.at().Seconds(), fmt.Sprintf(format, values...))
}
