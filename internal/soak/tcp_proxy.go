package soak

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// connectionFault is the fault that a tcpProxy applies to its connections.
type connectionFault string

const (
	noFault          connectionFault = "pass"            // no fault
	resetConnections connectionFault = "reset"           // open and new connections are reset
	silenceBoth      connectionFault = "silence_both"    // data is dropped in both directions
	silenceAnswers   connectionFault = "silence_answers" // data from the upstream is dropped
	delayAnswers     connectionFault = "delay_answers"   // data from the upstream is delayed by answerDelay
)

// answerDelay is the delay of each chunk of an answer.
const answerDelay = 300 * time.Millisecond

// tcpProxy forwards TCP connections to one upstream address.
type tcpProxy struct {
	upstream netip.AddrPort

	mu        sync.Mutex
	fault     connectionFault
	openConns map[*net.TCPConn]bool // client side of the open connections; true if it is silent for good
}

func newTCPProxy(n *network, at, to netip.AddrPort) (*tcpProxy, error) {
	ln, err := n.listenTCP(at)
	if err != nil {
		return nil, err
	}
	p := &tcpProxy{upstream: to, fault: noFault, openConns: make(map[*net.TCPConn]bool)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return // the listener is closed
			}
			go p.serve(c.(*net.TCPConn))
		}
	}()
	return p, nil
}

// setFault sets the fault of all connections; resetConnections also resets those that
// are open.
func (p *tcpProxy) setFault(f connectionFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f != resetConnections {
		return
	}
	for c := range p.openConns {
		closeWithReset(c)
	}
}

// silenceOpen drops all data of the connections that are open now, for good.
func (p *tcpProxy) silenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.openConns {
		p.openConns[c] = true
	}
}

func (p *tcpProxy) currentFault() connectionFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// faultOf returns the fault of a connection.
func (p *tcpProxy) faultOf(c *net.TCPConn) connectionFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openConns[c] {
		return silenceBoth
	}
	return p.fault
}

// closeWithReset closes a connection with a TCP reset instead of a FIN.
func closeWithReset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// serve forwards a client's connection until one of its ends closes.
func (p *tcpProxy) serve(c *net.TCPConn) {
	if p.currentFault() == resetConnections {
		closeWithReset(c)
		return
	}
	up, err := net.Dial("tcp4", p.upstream.String())
	if err != nil {
		closeWithReset(c)
		return
	}
	p.mu.Lock()
	p.openConns[c] = false
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() {
		p.copy(c, up, c, silenceBoth)
		done <- struct{}{}
	}()
	go func() {
		p.copy(c, c, up, silenceBoth, silenceAnswers)
		done <- struct{}{}
	}()
	<-done
	_ = c.Close()
	_ = up.Close()
	<-done
	p.mu.Lock()
	delete(p.openConns, c)
	p.mu.Unlock()
}

// copy forwards bytes of a client's connection until an end closes, and drops them under the
// listed faults. Only the direction of answers lists more than one.
func (p *tcpProxy) copy(client *net.TCPConn, to, from net.Conn, droppedUnder ...connectionFault) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		fault := p.faultOf(client)
		dropped := false
		for _, s := range droppedUnder {
			dropped = dropped || s == fault
		}
		if dropped {
			continue
		}
		if fault == delayAnswers && len(droppedUnder) > 1 {
			time.Sleep(answerDelay)
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}
