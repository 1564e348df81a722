package soak

import (
	"errors"
	"os"
	"os/exec"
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

	cmd   *exec.Cmd
	ended chan struct{}
}

// Start starts the program.
func (p *Process) Start() error {
	cmd := exec.Command(p.Path, p.Args...)
	cmd.Stdout, cmd.Stderr = p.Log, p.Log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// Running reports whether the program runs.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Pause and Resume stop and continue the program.
func (p *Process) Pause() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a paused program.
func (p *Process) Resume() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Reload tells the program that its settings changed.
func (p *Process) Reload() { _ = p.cmd.Process.Signal(syscall.SIGHUP) }

// Kill ends the program at once.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// Stop asks the program to end, and kills it when it has not within the grace.
func (p *Process) Stop(grace time.Duration) error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		return nil
	case <-time.After(grace):
		p.Kill()
		return ErrNotStopped
	}
}
