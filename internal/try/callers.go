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

// caller is an HTTP/3 client with one socket, and thus one flow, to one service.
type caller struct {
	name          string
	baseURL       string
	stats         *callerStats
	rng           *rand.Rand
	client        *http.Client
	udp           *net.UDPConn
	quic          *quic.Transport
	h3            *http3.Transport
	connections   atomic.Int64
	requestNumber int
}

func newCaller(name string, service netip.AddrPort, stats *callerStats, seed uint64) (*caller, error) {
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	c := &caller{
		name:    name,
		baseURL: "https://" + service.String(),
		stats:   stats,
		rng:     rand.New(rand.NewPCG(seed, 2)),
		udp:     udp,
		quic:    &quic.Transport{Conn: udp},
	}
	c.h3 = &http3.Transport{
		// The authority of the agents' certificate is generated for the run, so a client
		// could not trust it in advance.
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

// dial opens a QUIC connection. A caller keeps its connection, so a second one means
// that the flow was broken.
func (c *caller) dial(ctx context.Context, addr string, tlsConfig *tls.Config, quicConfig *quic.Config) (*quic.Conn, error) {
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	if n := c.connections.Add(1); n > 1 {
		c.stats.recordBrokenFlow(fmt.Sprintf("%s connected %d times", c.name, n))
	}
	return c.quic.DialEarly(ctx, to, tlsConfig, quicConfig)
}

func (c *caller) close() {
	_ = c.h3.Close()
	_ = c.quic.Close()
	_ = c.udp.Close()
}

// sendRequests sends requests with exponentially distributed gaps until the context
// ends.
func (c *caller) sendRequests(ctx context.Context, meanGap time.Duration, blobBytes int) {
	for {
		gap := time.Duration(c.rng.ExpFloat64() * float64(meanGap))
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
		c.requestNumber++
		if blobBytes > 0 && c.requestNumber%requestsPerBlob == 0 {
			c.requestBlob(blobBytes)
			continue
		}
		c.sendRequest()
	}
}

// newKey returns a request key that contains its time of issue.
func (c *caller) newKey(now time.Time) string {
	var random [10]byte
	for i := range random {
		random[i] = byte(c.rng.Uint32())
	}
	return protocol.NewKey(now, random).String()
}

// sendRequest sends one POST request with a key, which must run at most once.
func (c *caller) sendRequest() {
	key := c.newKey(time.Now())
	path := fmt.Sprintf("/check?caller=%s&n=%d", c.name, c.requestNumber)
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	start := time.Now()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, http.NoBody)
	if err != nil {
		c.stats.recordRequest(key, outcomeFailed, 0, err.Error())
		return
	}
	r.Header.Set(protocol.HeaderKey, key)
	r.Header.Set(protocol.HeaderTimeout, strconv.FormatFloat(requestTimeout.Seconds(), 'f', 3, 64))
	res, err := c.client.Do(r)
	if err != nil {
		c.stats.recordRequest(key, c.classifyError(err), 0, err.Error())
		return
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	latency := time.Since(start)
	o, detail := classifyResponse(res, string(body), err, key+" "+path+"\n")
	c.stats.recordRequest(key, o, latency, c.name+": "+detail)
}

// classifyError returns the outcome of a request that failed without a response.
func (c *caller) classifyError(err error) outcome {
	if errors.Is(err, context.DeadlineExceeded) {
		return outcomePastDeadline
	}
	return outcomeFailed
}

// classifyResponse returns the outcome of a response and, unless that is answered, its
// details. err is the error of reading the body, and want is the only correct body.
func classifyResponse(res *http.Response, body string, err error, want string) (outcome, string) {
	switch o := outcome(res.Header.Get(protocol.HeaderOutcome)); {
	case res.StatusCode == http.StatusOK && err == nil && body == want:
		return outcomeAnswered, ""
	case res.StatusCode == http.StatusOK && err != nil:
		return outcomeFailed, "truncated answer: " + err.Error()
	case res.StatusCode == http.StatusOK:
		return outcomeWrong, fmt.Sprintf("got %q, not %q", body, want)
	case o == outcomeNotRun || o == outcomeUnknown || o == outcomePastDeadline:
		return o, body
	}
	return outcomeFailed, fmt.Sprintf("status %d: %s", res.StatusCode, body)
}

// requestBlob requests a blob and verifies each of its bytes.
func (c *caller) requestBlob(size int) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*requestTimeout)
	defer cancel()
	start := time.Now()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/blob?bytes="+strconv.Itoa(size), nil)
	if err != nil {
		c.stats.recordRequest("", outcomeFailed, 0, err.Error())
		return
	}
	res, err := c.client.Do(r)
	if err != nil {
		c.stats.recordRequest("", c.classifyError(err), 0, "blob: "+err.Error())
		return
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(res.Body)
		o, detail := classifyResponse(res, string(body), nil, "")
		c.stats.recordRequest("", o, 0, "blob: "+detail)
		return
	}
	n, err := verifyBlob(res.Body)
	switch {
	case err != nil:
		c.stats.recordRequest("", outcomeWrong, 0, fmt.Sprintf("blob after %d bytes: %v", n, err))
	case n != size:
		c.stats.recordRequest("", outcomeWrong, 0, fmt.Sprintf("blob of %d bytes, not %d", n, size))
	default:
		c.stats.recordRequest("", outcomeAnswered, time.Since(start), "")
	}
}

var errWrongByte = errors.New("wrong byte")

// verifyBlob compares a blob with its expected bytes and returns the length of the
// correct part.
func verifyBlob(r io.Reader) (int, error) {
	buf := make([]byte, 32<<10)
	offset := 0
	for {
		n, err := r.Read(buf)
		for i := range n {
			if buf[i] != backend.BlobByte(offset+i) {
				return offset + i, errWrongByte
			}
		}
		offset += n
		if err == io.EOF {
			return offset, nil
		}
		if err != nil {
			return offset, err
		}
	}
}

// holdWatch holds a watch open and checks that its lines are numbered without a gap.
func (c *caller) holdWatch(ctx context.Context) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/watch?every="+watchInterval.String(), nil)
	if err != nil {
		c.stats.recordBrokenFlow(err.Error())
		return
	}
	r.Header.Set("Accept", "text/event-stream")
	res, err := c.client.Do(r)
	if err != nil {
		c.checkWatchEnd(ctx, 0, err)
		return
	}
	defer func() { _ = res.Body.Close() }()
	lines := bufio.NewScanner(res.Body)
	lastReceived := time.Now()
	lineCount := 0
	for ; lines.Scan(); lineCount++ {
		if lines.Text() != strconv.Itoa(lineCount) {
			c.stats.recordRequest("", outcomeWrong, 0, fmt.Sprintf("%s: watch line %q, not %d", c.name, lines.Text(), lineCount))
			return
		}
		if gap := time.Since(lastReceived); gap > watchStallThreshold {
			c.stats.recordStalledWatch(fmt.Sprintf("%s: %s between lines %d and %d", c.name, gap, lineCount-1, lineCount))
		}
		lastReceived = time.Now()
	}
	c.checkWatchEnd(ctx, lineCount, lines.Err())
}

// checkWatchEnd records a broken flow if the watch ended before its caller did.
func (c *caller) checkWatchEnd(ctx context.Context, lineCount int, err error) {
	if ctx.Err() == nil {
		c.stats.recordBrokenFlow(fmt.Sprintf("%s: watch ended after %d lines: %v", c.name, lineCount, err))
	}
}
