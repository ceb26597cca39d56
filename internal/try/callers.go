package try

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn/internal/fake/backend"
	protocol "github.com/currantturn/currantturn/internal/protocol/request"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// caller owns one socket and so one flow to one service.
type caller struct {
	name     string
	base     string
	tally    *Tally
	rng      *rand.Rand
	client   *http.Client
	udp      *net.UDPConn
	quic     *quic.Transport
	h3       *http3.Transport
	dials    atomic.Int64
	sequence int
}

func newCaller(name string, service netip.AddrPort, tally *Tally, seed uint64) (*caller, error) {
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	c := &caller{
		name:  name,
		base:  "https://" + service.String(),
		tally: tally,
		rng:   rand.New(rand.NewPCG(seed, 2)),
		udp:   udp,
		quic:  &quic.Transport{Conn: udp},
	}
	c.h3 = &http3.Transport{
		// The run's own authority signs nothing that a caller could know before.
		TLSClientConfig: &tls.Config{InsecureSkipVerify: true},
		QUICConfig: &quic.Config{
			MaxIdleTimeout:          30 * time.Second,
			KeepAlivePeriod:         10 * time.Second,
			DisablePathMTUDiscovery: true,
		},
		Dial: c.dial,
	}
	c.client = &http.Client{Transport: c.h3}
	return c, nil
}

// dial counts connections: after the first, the flow before it was broken.
func (c *caller) dial(ctx context.Context, addr string, tc *tls.Config, qc *quic.Config) (*quic.Conn, error) {
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	if n := c.dials.Add(1); n > 1 {
		c.tally.breakFlow(fmt.Sprintf("%s connected %d times", c.name, n))
	}
	return c.quic.DialEarly(ctx, to, tc, qc)
}

func (c *caller) close() {
	_ = c.h3.Close()
	_ = c.quic.Close()
	_ = c.udp.Close()
}

// loop sends requests with exponential gaps until the context ends.
func (c *caller) loop(ctx context.Context, every time.Duration, blob int) {
	for {
		gap := time.Duration(c.rng.ExpFloat64() * float64(every))
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
		c.sequence++
		if blob > 0 && c.sequence%blobEvery == 0 {
			c.large(blob)
			continue
		}
		c.check()
	}
}

// newKey returns a request key that carries its time of issue.
func (c *caller) newKey(now time.Time) string {
	var random [10]byte
	for i := range random {
		random[i] = byte(c.rng.Uint32())
	}
	return protocol.NewKey(now, random).String()
}

// check sends one request that must run at most once.
func (c *caller) check() {
	id := c.newKey(time.Now())
	path := fmt.Sprintf("/check?caller=%s&n=%d", c.name, c.sequence)
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline)
	defer cancel()
	start := time.Now()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, http.NoBody)
	if err != nil {
		c.tally.request(id, outcomeFailed, 0, err.Error())
		return
	}
	r.Header.Set(protocol.HeaderKey, id)
	r.Header.Set(protocol.HeaderTimeout, strconv.FormatFloat(requestDeadline.Seconds(), 'f', 3, 64))
	res, err := c.client.Do(r)
	if err != nil {
		c.tally.request(id, c.failure(err), 0, err.Error())
		return
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	took := time.Since(start)
	o, detail := judge(res, string(body), err, id+" "+path+"\n")
	c.tally.request(id, o, took, c.name+": "+detail)
}

func (c *caller) failure(err error) outcome {
	if errors.Is(err, context.DeadlineExceeded) {
		return outcomeLate
	}
	return outcomeFailed
}

// judge compares an answer with the one that the request must get.
func judge(res *http.Response, body string, err error, want string) (outcome, string) {
	switch o := outcome(res.Header.Get(protocol.HeaderOutcome)); {
	case res.StatusCode == http.StatusOK && err == nil && body == want:
		return outcomeAnswered, ""
	case res.StatusCode == http.StatusOK && err != nil:
		return outcomeFailed, "cut answer: " + err.Error()
	case res.StatusCode == http.StatusOK:
		return outcomeWrong, fmt.Sprintf("got %q, not %q", body, want)
	case o == outcomeNotRun || o == outcomeUnknown || o == outcomeLate:
		return o, body
	}
	return outcomeFailed, fmt.Sprintf("status %d: %s", res.StatusCode, body)
}

// large asks for a large answer and compares each byte.
func (c *caller) large(size int) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*requestDeadline)
	defer cancel()
	start := time.Now()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/blob?bytes="+strconv.Itoa(size), nil)
	if err != nil {
		c.tally.request("", outcomeFailed, 0, err.Error())
		return
	}
	res, err := c.client.Do(r)
	if err != nil {
		c.tally.request("", c.failure(err), 0, "large answer: "+err.Error())
		return
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(res.Body)
		o, detail := judge(res, string(body), nil, "")
		c.tally.request("", o, 0, "large answer: "+detail)
		return
	}
	n, err := compareBlob(res.Body)
	switch {
	case err != nil:
		c.tally.request("", outcomeWrong, 0, fmt.Sprintf("large answer after %d bytes: %v", n, err))
	case n != size:
		c.tally.request("", outcomeWrong, 0, fmt.Sprintf("large answer of %d bytes, not %d", n, size))
	default:
		c.tally.request("", outcomeAnswered, time.Since(start), "")
	}
}

var errWrongByte = errors.New("wrong byte")

func compareBlob(r io.Reader) (int, error) {
	buf := make([]byte, 32<<10)
	at := 0
	for {
		n, err := r.Read(buf)
		for i := range n {
			if buf[i] != backend.BlobByte(at+i) {
				return at + i, errWrongByte
			}
		}
		at += n
		if err == io.EOF {
			return at, nil
		}
		if err != nil {
			return at, err
		}
	}
}

// watch holds one watch open and checks that its lines are numbered without a gap.
func (c *caller) watch(ctx context.Context) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/watch?every="+watchEvery.String(), nil)
	if err != nil {
		c.tally.breakFlow(err.Error())
		return
	}
	r.Header.Set("Accept", "text/event-stream")
	res, err := c.client.Do(r)
	if err != nil {
		c.endWatch(ctx, 0, err)
		return
	}
	defer func() { _ = res.Body.Close() }()
	lines := bufio.NewScanner(res.Body)
	last := time.Now()
	n := 0
	for ; lines.Scan(); n++ {
		if lines.Text() != strconv.Itoa(n) {
			c.tally.request("", outcomeWrong, 0, fmt.Sprintf("%s: watch line %q, not %d", c.name, lines.Text(), n))
			return
		}
		if gap := time.Since(last); gap > watchStall {
			c.tally.stall(fmt.Sprintf("%s: %s between lines %d and %d", c.name, gap, n-1, n))
		}
		last = time.Now()
	}
	c.endWatch(ctx, n, lines.Err())
}

// endWatch judges the end of a watch: only the caller may end it.
func (c *caller) endWatch(ctx context.Context, n int, err error) {
	if ctx.Err() == nil {
		c.tally.breakFlow(fmt.Sprintf("%s: watch ended after %d lines: %v", c.name, n, err))
	}
}
