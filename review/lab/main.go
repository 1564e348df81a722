// Command lab plays the cases of the review: it starts nodes with the command of the deploy file as processes
// of their own, beside stand-ins of the platform's store, of replicas and of clients, on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"
)

var cases = map[string]func(c *setting) (broken bool){}

// setting is what a case is given.
type setting struct {
	record  *recorder
	dir     string
	trouble bool
}

func main() {
	if len(os.Args) != 4 || os.Getenv("ROOT") == "" {
		fmt.Fprintln(os.Stderr, "usage: ROOT=repository lab CASE RECORD DIRECTORY")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case: "+os.Args[1])
		os.Exit(2)
	}
	trouble := true
	if value, err := strconv.Atoi(os.Getenv("TROUBLE")); err == nil {
		trouble = value != 0
	}
	c := &setting{record: newRecorder(os.Args[2]), dir: os.Args[3], trouble: trouble}
	go endEarly()
	broken := play(c)
	endNodes()
	if broken {
		c.record.say("the rule is broken")
		os.Exit(1)
	}
	c.record.say("the rule holds")
}

const host = "ficu95.example"

var limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

func configure(s *store, version int, routes, services []map[string]any) {
	s.put("op", "config", map[string]any{"version": version, "routes": routes, "services": services, "limits": limits})
}

// longestPlay is how long a case may take.
const longestPlay = 115 * time.Second

// endEarly ends all processes if the case takes too long or is told to end.
func endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
		cannotRun("ended by a signal")
	case <-time.After(longestPlay):
		cannotRun("the case took too long")
	}
}
