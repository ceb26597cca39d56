package harness

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is one process of currantturn, which can be signalled and started again.
type Process struct {
	Name     string
	args     []string // program and arguments, as in the deploy file
	settings string   // path of the settings file
	log      string   // path of the file with its output
	record   *Record

	mu        sync.Mutex
	cmd       *exec.Cmd
	ended     chan struct{}
	expected  bool // the end of the process is expected
	disturbed time.Time
}

// Start starts the process.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CURRANTTURN_BOOT=" + p.settings}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.expected, p.disturbed = cmd, ended, false, time.Now()
	p.record.Printf("process %s: started as %d: %s", p.Name, cmd.Process.Pid, strings.Join(p.args, " "))
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		expected := p.expected
		p.mu.Unlock()
		p.record.Printf("process %s: %d ended (%v), expected %t", p.Name, cmd.Process.Pid, err, expected)
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbed = time.Now()
	p.record.Printf("process %s: %s to %d", p.Name, s, p.cmd.Process.Pid)
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// Stop sends SIGTERM to the process, and SIGKILL after the grace period.
func (p *Process) Stop(grace time.Duration) {
	p.expectEnd()
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(grace):
		p.Kill()
	}
	p.touch()
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.mu.Lock()
	cmd, ended := p.cmd, p.ended
	p.expected, p.disturbed = true, time.Now()
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT) // it may have ended
	_ = cmd.Process.Kill()
	<-ended
	p.touch()
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.ended:
		return false
	default:
		return p.cmd != nil
	}
}

// Undisturbed returns how long ago the process was last started or signalled.
func (p *Process) Undisturbed(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.disturbed)
}

func (p *Process) expectEnd() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expected = true
}

func (p *Process) touch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbed = time.Now()
}

// Record is the log of a case: what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Printf adds a line with the time since the start in seconds.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
