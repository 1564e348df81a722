package soak

import (
	"errors"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// ErrNotStopped reports that a process had to be killed because it did not stop in time.
var ErrNotStopped = errors.New("the process did not exit within the shutdown timeout")

// Process is a program that can be signaled and restarted. Signals are sent only through the handle of its
// own child process.
type Process struct {
	// Path and Args are the command, Log receives its output.
	Path string
	Args []string
	Log  *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// current returns the current process and a channel that is closed when it exits, nil before the first start.
func (p *Process) current() (*exec.Cmd, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd, p.exited
}

// signal sends a signal to the current process.
func (p *Process) signal(number os.Signal) {
	if cmd, _ := p.current(); cmd != nil {
		_ = cmd.Process.Signal(number)
	}
}

// Start starts a new process.
func (p *Process) Start() error {
	cmd := exec.Command(p.Path, p.Args...)
	cmd.Stdout, cmd.Stderr = p.Log, p.Log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// Running reports whether the process is running.
func (p *Process) Running() bool {
	_, exited := p.current()
	if exited == nil {
		return false
	}
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

// Pause suspends the process with SIGSTOP.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Reload makes the process reload its settings with SIGHUP.
func (p *Process) Reload() { p.signal(syscall.SIGHUP) }

// Kill kills the process and waits for its exit.
func (p *Process) Kill() {
	cmd, exited := p.current()
	_ = cmd.Process.Kill()
	<-exited
}

// Stop sends SIGTERM, and kills the process if it does not exit within the timeout.
func (p *Process) Stop(timeout time.Duration) error {
	cmd, exited := p.current()
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
		return nil
	case <-time.After(timeout):
		_ = cmd.Process.Kill()
		<-exited
		return ErrNotStopped
	}
}
