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

// process runs one of the real programs, and can be restarted.
type process struct {
	name, role            string
	settingsPath, logPath string
	reportFailure         func(reason string)

	mu           sync.Mutex
	binary       string // of the next start
	cmd          *exec.Cmd
	ended        chan struct{} // closed when the current process has ended
	endExpected  bool          // the current process was killed or stopped
	stopRequests int           // SIGTERMs sent to the current process by stop
	starts       int           // number of starts so far
}

func newProcess(dir, binary, name, role string, reportFailure func(reason string)) *process {
	return &process{
		name: name, role: role, binary: binary, reportFailure: reportFailure,
		settingsPath: filepath.Join(dir, name+".ini"), logPath: filepath.Join(dir, name+".log"),
	}
}

// configure writes the settings file, which the program reads when it starts or
// receives SIGHUP.
func (p *process) configure(settings string) error {
	return eris.Wrap(os.WriteFile(p.settingsPath, []byte(settings), 0o600), "write settings")
}

// setBinary sets the program of the next start.
func (p *process) setBinary(path string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.binary = path
}

// start starts the process unless it is running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	defer log.Close()
	cmd := exec.Command(p.binary, p.role, "--settings", p.settingsPath)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "start %s", p.name)
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.endExpected, p.stopRequests = cmd, ended, false, 0
	p.starts++
	go p.wait(cmd, ended)
	return nil
}

// wait waits for the end of the process and reports one that was not expected or that
// failed.
func (p *process) wait(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	expected, stops := p.endExpected, p.stopRequests
	p.cmd = nil
	p.mu.Unlock()
	close(ended)
	if !expected {
		p.reportFailure(p.name + " ended unexpectedly: " + cmd.ProcessState.String())
	} else if err != nil && cmd.ProcessState.Exited() && stops < 2 { // a second SIGTERM ends a process at once, with an error
		p.reportFailure(p.name + " failed during a planned stop: " + err.Error())
	}
}

// signal sends a signal to the process if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	p.endExpected = true
	cmd, ended := p.cmd, p.ended
	if cmd != nil {
		_ = cmd.Process.Kill()
	}
	p.mu.Unlock()
	if cmd != nil {
		<-ended
	}
}

// stop sends SIGTERM to the process and kills it if it has not ended within stopWithin.
// That is a failure unless the process is paused.
func (p *process) stop(paused func() bool) {
	p.mu.Lock()
	p.endExpected = true
	cmd, ended := p.cmd, p.ended
	if cmd != nil {
		p.stopRequests++
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
			p.reportFailure(p.name + " did not end in time at a planned stop")
		}
		p.kill()
	}
}

// state returns how often the process was started and whether it is running.
func (p *process) state() (incarnation int, running bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts, p.cmd != nil
}
