package soak

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// connectionFault is how connections through a proxy fare.
type connectionFault string

const (
	passConnections  connectionFault = "pass"
	resetConnections connectionFault = "reset"
	silenceBoth      connectionFault = "silence_both"
	silenceAnswers   connectionFault = "silence_answers"
	delayAnswers     connectionFault = "delay_answers"
)

// answerDelay is the delay of each part of an answer.
const answerDelay = 300 * time.Millisecond

// connections is a proxy of TCP connections to one address.
type connections struct {
	to netip.AddrPort

	mu    sync.Mutex
	fault connectionFault
	open  map[*net.TCPConn]bool // of callers
}

func newConnections(n *network, at, to netip.AddrPort) (*connections, error) {
	ln, err := n.listenTCP(at)
	if err != nil {
		return nil, err
	}
	p := &connections{to: to, fault: passConnections, open: make(map[*net.TCPConn]bool)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return // closed
			}
			go p.serve(c.(*net.TCPConn))
		}
	}()
	return p, nil
}

// set changes the fate of all connections; a reset ends those that are open.
func (p *connections) set(f connectionFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f != resetConnections {
		return
	}
	for c := range p.open {
		reset(c)
	}
}

func (p *connections) now() connectionFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// reset closes a connection with a reset; one that has ended stays so.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (p *connections) serve(c *net.TCPConn) {
	if p.now() == resetConnections {
		reset(c)
		return
	}
	d, err := net.Dial("tcp4", p.to.String())
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.open[c] = true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() {
		p.copy(d, c, silenceBoth)
		done <- struct{}{}
	}()
	go func() {
		p.copy(c, d, silenceBoth, silenceAnswers)
		done <- struct{}{}
	}()
	<-done
	_ = c.Close()
	_ = d.Close()
	<-done
	p.mu.Lock()
	delete(p.open, c)
	p.mu.Unlock()
}

// copy passes bytes on until an end closes; under some faults they vanish.
func (p *connections) copy(to, from net.Conn, silent ...connectionFault) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		fault := p.now()
		vanished := false
		for _, s := range silent {
			vanished = vanished || s == fault
		}
		if vanished {
			continue
		}
		if fault == delayAnswers && len(silent) > 1 {
			time.Sleep(answerDelay)
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}
