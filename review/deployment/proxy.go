package deployment

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// proxy passes the connections of one balancer to the store.
type proxy struct {
	store netip.AddrPort

	mu       sync.Mutex
	cut      bool
	opened   int // connections so far
	silenced int // connections up to this number pass nothing any more
	lastRead time.Time
}

// proxiedConn is one connection through a proxy.
type proxiedConn struct {
	p      *proxy
	number int
}

func (p *proxy) serve(ln net.Listener) {
	for {
		client, err := ln.Accept()
		if err != nil {
			return // closed at the end of the run
		}
		p.mu.Lock()
		p.opened++
		c := &proxiedConn{p: p, number: p.opened}
		p.mu.Unlock()
		go c.run(client)
	}
}

// run passes data in both directions until one end closes.
func (c *proxiedConn) run(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp4", c.p.store.String())
	if err != nil {
		return
	}
	defer server.Close()
	go func() {
		_, _ = io.Copy(writer{c, server, true}, client) // ends when either connection is closed
		_ = server.Close()
	}()
	_, _ = io.Copy(writer{c, client, false}, server)
}

// passes reports whether data passes now. What is lost in a cut stays lost, and the
// connection passes nothing afterwards.
func (c *proxiedConn) passes(request bool) bool {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	if c.p.cut {
		c.p.silenced = max(c.p.silenced, c.number)
	}
	if c.number <= c.p.silenced {
		return false
	}
	if request {
		c.p.lastRead = time.Now()
	}
	return true
}

// writer writes to one end of a connection while data passes, and else discards it.
type writer struct {
	conn    *proxiedConn
	to      net.Conn
	request bool
}

// Write writes or discards b.
func (w writer) Write(b []byte) (int, error) {
	if !w.conn.passes(w.request) {
		return len(b), nil
	}
	return w.to.Write(b)
}

// setCut cuts the balancer off from the store, or ends that.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut != cut {
		p.silenced = p.opened
	}
	p.cut = cut
}

// silence makes the open connections pass nothing any more; new ones work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silenced = p.opened
}

// idle returns how long ago the balancer last sent a request.
func (p *proxy) idle() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.lastRead)
}
