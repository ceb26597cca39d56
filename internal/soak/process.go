package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// program is one machine's process of the real programs.
type program struct {
	name, role, binary string
	settings, log      string // paths
	failed             func(reason string)

	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{} // of the present process
	expected bool          // its end
	stops    int           // planned stops that it was asked for
	starts   int
}

func newProgram(dir, binary, name, role string, failed func(reason string)) *program {
	return &program{
		name: name, role: role, binary: binary, failed: failed,
		settings: filepath.Join(dir, name+".ini"), log: filepath.Join(dir, name+".log"),
	}
}

func (p *program) configure(settings string) error {
	return eris.Wrap(os.WriteFile(p.settings, []byte(settings), 0o600), "write settings")
}

// start starts the process unless it runs.
func (p *program) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	defer log.Close()
	cmd := exec.Command(p.binary, p.role, "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "start %s", p.name)
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.expected, p.stops = cmd, ended, false, 0
	p.starts++
	go p.wait(cmd, ended)
	return nil
}

func (p *program) wait(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	expected, stops := p.expected, p.stops
	p.cmd = nil
	p.mu.Unlock()
	close(ended)
	if !expected {
		p.failed(p.name + " ended by itself: " + cmd.ProcessState.String())
	} else if err != nil && cmd.ProcessState.Exited() && stops < 2 { // a second signal ends it at once
		p.failed(p.name + " failed at a planned stop: " + err.Error())
	}
}

// signal sends a signal to the process, by its id; one that has ended gets none.
func (p *program) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process at once.
func (p *program) kill() {
	p.mu.Lock()
	p.expected = true
	cmd, ended := p.cmd, p.ended
	if cmd != nil {
		_ = cmd.Process.Kill()
	}
	p.mu.Unlock()
	if cmd != nil {
		<-ended
	}
}

// stop asks the process to end and kills it after the time for that; a process
// that was paused meanwhile may take longer.
func (p *program) stop(paused func() bool) {
	p.mu.Lock()
	p.expected = true
	cmd, ended := p.cmd, p.ended
	if cmd != nil {
		p.stops++
		_ = cmd.Process.Signal(syscall.SIGTERM)
	}
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(stopWithin):
		if !paused() {
			p.failed(p.name + " did not end within its time for a planned stop")
		}
		p.kill()
	}
}

func (p *program) running() (incarnation int, running bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts, p.cmd != nil
}
