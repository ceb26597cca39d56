package deployment

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Process is one of the real programs, started by the command of the deploy file.
type Process struct {
	Name         string
	binary, role string
	settingsPath string
	logPath      string
	record       *Record

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// configure writes the settings file.
func (p *Process) configure(settings string) error {
	return os.WriteFile(p.settingsPath, []byte(settings), 0o600)
}

func (p *Process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.binary, p.role)
	cmd.Env = []string{"CURRANTTURN_BOOT=" + p.settingsPath, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with this one, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		_ = cmd.Wait() // a killed process returns an error
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.record.Add("platform", "%s gets %s", p.Name, s)
		_ = p.cmd.Process.Signal(s) // it may have ended
	}
}

// kill ends the process and waits for that.
func (p *Process) kill() {
	p.mu.Lock()
	cmd, ended := p.cmd, p.ended
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill() // it may have ended
		<-ended
	}
}

// Restart stops the process as the platform does, with SIGTERM and a grace period, and
// starts it again after a short delay.
func (p *Process) Restart() error {
	p.Signal(syscall.SIGTERM)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(gracePeriod):
		p.kill()
	}
	time.Sleep(restartDelay)
	p.record.Add("platform", "%s starts again", p.Name)
	return p.start()
}

func newProcess(dir, binary, role, name string, record *Record) *Process {
	return &Process{
		Name: name, binary: binary, role: role, record: record,
		settingsPath: filepath.Join(dir, name+".ini"), logPath: filepath.Join(dir, name+".log"),
	}
}

func (d *Deployment) balancerSettings(i int, fresh bool) string {
	return fmt.Sprintf(`[process]
role = flow_balancer
name = balancer-%d
failure_domain = %s
shutdown_grace = 6s

[log]
format = json
level = debug

[store]
address = %s
apply_within = %dms
drain_within = %dms

[relay]
link_address = %s
readiness_address = %s
metrics_address = %s
caller_address = %s
state_address = %s
seeds = %s,%s
link_capacity = 1000
fresh_start = %t
`, i, d.Zone(i), d.address(storeNet, i+1, storePort), d.opts.ApplyWithin.Milliseconds(), d.opts.ApplyWithin.Milliseconds(),
		d.address(balancerNet, i, linkPort), d.address(balancerNet, i, readinessPort), d.address(balancerNet, i, balancerMetric),
		d.address(balancerNet, i, callerPort), d.address(balancerNet, i, statePort),
		d.address(balancerNet, 0, statePort), d.address(balancerNet, 1, statePort), fresh)
}

func (d *Deployment) agentSettings(j int, service string, fresh bool) string {
	return fmt.Sprintf(`[process]
role = flow_agent
name = agent-%d
failure_domain = %s
shutdown_grace = 6s

[log]
format = json
level = debug

[relay]
link_address = %s
readiness_address = %s
metrics_address = %s
caller_address = %s
outbound_address = %s
backend_address = %s
service = %s
seeds = %s,%s
fresh_start = %t
`, j, d.Zone(j), d.address(agentNet, j, linkPort), d.address(agentNet, j, readinessPort), d.address(agentNet, j, agentMetric),
		d.address(agentNet, j, callerPort), d.address(agentNet, j, outboundPort), d.address(agentNet, j, backendPort), service,
		d.address(balancerNet, 0, statePort), d.address(balancerNet, 1, statePort), fresh)
}
