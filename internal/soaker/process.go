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

// process is one program of the fleet that may be started again. Only what it
// started itself is ever signalled, by its id.
type process struct {
	name, program, dir string
	args               []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	starts int
}

// start runs the program; its output goes to a file of its name.
func (p *process) start(more ...string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd := exec.Command(p.program, append(append([]string{}, p.args...), more...)...)
	cmd.Stdout, cmd.Stderr, cmd.Dir = log, log, p.dir
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // how it ended is in its log
		close(exited)
	}()
	p.cmd, p.exited = cmd, exited
	p.starts++
	return nil
}

// signal sends a signal to the running process.
func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("soaker: %s has not been started", p.name)
	}
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// end sends a signal and waits until the process has gone. One that does not go
// in time is killed, and reported.
func (p *process) end(s syscall.Signal, within time.Duration) error {
	if err := p.signal(s); err != nil {
		return err
	}
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return nil
	case <-time.After(within):
	}
	err := p.signal(syscall.SIGKILL)
	<-exited
	return errors.Join(err, fmt.Errorf("soaker: %s did not end within %v of %v", p.name, within, s))
}
