package soaker

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is one program of the fleet, which may be restarted. It signals only
// the process that it started, by process ID.
type process struct {
	name, program, dir string
	args               []string

	mu         sync.Mutex
	cmd        *exec.Cmd
	exited     chan struct{}
	startCount int
	// ending is true once terminate was called, and exits describes the exits before.
	ending bool
	exits  []string
}

// start runs the program. Its output is appended to the file name.log in dir.
func (p *process) start(extraArgs ...string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd := exec.Command(p.program, append(append([]string{}, p.args...), extraArgs...)...)
	cmd.Stdout, cmd.Stderr, cmd.Dir = log, log, p.dir
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.ending = cmd, exited, false
	p.startCount++
	go func() {
		p.recordExit(cmd.Wait())
		close(exited)
	}()
	return nil
}

// recordExit records the exit of the process, unless terminate caused it.
func (p *process) recordExit(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ending {
		p.exits = append(p.exits, fmt.Sprintf("%s exited by itself: %v", p.name, err))
	}
}

// signal sends a signal to the process. A process that has exited is no error.
func (p *process) signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("soaker: %s has not been started", p.name)
	}
	if err := p.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// terminate sends a signal and waits until the process exits. After timeout it
// kills the process and returns an error.
func (p *process) terminate(sig syscall.Signal, timeout time.Duration) error {
	p.mu.Lock()
	p.ending = true
	p.mu.Unlock()
	if err := p.signal(sig); err != nil {
		return err
	}
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return nil
	case <-time.After(timeout):
	}
	err := p.signal(syscall.SIGKILL)
	<-exited
	return errors.Join(err, fmt.Errorf("soaker: %s did not exit within %v of %v", p.name, timeout, sig))
}
