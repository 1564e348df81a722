package soak

import (
	"errors"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// ErrNotStopped says that a process outlived its planned stop.
var ErrNotStopped = errors.New("the process did not end within its grace")

// Process is one program that the soak starts, signals and starts again. It signals no
// other process: every signal goes to the handle of its own child.
type Process struct {
	// Path and Args are the program, Log takes its output.
	Path string
	Args []string
	Log  *os.File

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// current returns the present life's process and what is closed at its end; nil before the first.
func (p *Process) current() (*exec.Cmd, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd, p.ended
}

// signal sends a signal to the present life.
func (p *Process) signal(number os.Signal) {
	if cmd, _ := p.current(); cmd != nil {
		_ = cmd.Process.Signal(number)
	}
}

// Start starts the program.
func (p *Process) Start() error {
	cmd := exec.Command(p.Path, p.Args...)
	cmd.Stdout, cmd.Stderr = p.Log, p.Log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended = cmd, ended
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// Running reports whether the program runs.
func (p *Process) Running() bool {
	_, ended := p.current()
	if ended == nil {
		return false
	}
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// Pause and Resume stop and continue the program.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues a paused program.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Reload tells the program that its settings changed.
func (p *Process) Reload() { p.signal(syscall.SIGHUP) }

// Kill ends the program at once.
func (p *Process) Kill() {
	cmd, ended := p.current()
	_ = cmd.Process.Kill()
	<-ended
}

// Stop asks the program to end, and kills it when it has not within the grace.
func (p *Process) Stop(grace time.Duration) error {
	cmd, ended := p.current()
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
		return nil
	case <-time.After(grace):
		_ = cmd.Process.Kill()
		<-ended
		return ErrNotStopped
	}
}
