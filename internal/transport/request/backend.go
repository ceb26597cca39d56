package request

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"hash"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	protocol "github.com/currantturn/currantturn/internal/protocol/request"
)

// errNoLength reports an answer whose end cannot be told from a cut.
var errNoLength = errors.New("backend server's answer has neither a length nor chunks")

// hopByHop are the headers of one connection, which are not passed on.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// passOn copies the headers that are not of one connection.
func passOn(dst, src http.Header) {
	named := strings.Split(strings.Join(src.Values("Connection"), ","), ",")
	for k, v := range src {
		listed := slices.ContainsFunc(named, func(n string) bool { return strings.EqualFold(strings.TrimSpace(n), k) })
		if !listed && !slices.Contains(hopByHop, k) {
			dst[k] = v
		}
	}
}

// plainBody is the caller's body, such that the HTTP client never sends it twice.
func (x *exchange) plainBody() io.ReadCloser {
	if x.params.Idempotent && x.r.ContentLength == 0 {
		return http.NoBody
	}
	return &single{x.r.Body}
}

// callBackend returns once the answer's headers are there or the deadline passed.
func (x *exchange) callBackend(ctx context.Context, body io.ReadCloser, length int64) (*http.Response, error) {
	res, err := x.call(ctx, x.h.backend, "http://"+x.h.opts.Backend.String(), body, length)
	if err != nil {
		return nil, err
	}
	chunked := slices.Contains(res.TransferEncoding, "chunked")
	if res.ContentLength < 0 && !chunked && x.r.Method != http.MethodHead {
		_ = res.Body.Close()
		return nil, errNoLength
	}
	return res, nil
}

// call sends the request with what is left of its time.
func (x *exchange) call(
	ctx context.Context, via http.RoundTripper, base string, body io.ReadCloser, length int64,
) (*http.Response, error) {
	left := x.deadline.Sub(x.h.opts.Clock())
	ctx, cancel := context.WithCancel(ctx)
	late := time.AfterFunc(left, cancel)
	out, err := http.NewRequestWithContext(ctx, x.r.Method, base+x.r.URL.RequestURI(), body)
	if err != nil {
		cancel()
		return nil, err
	}
	passOn(out.Header, x.r.Header)
	out.Header.Del(protocol.HeaderService)
	if via == x.h.peers {
		out.Header.Set(protocol.HeaderService, string(x.h.opts.Service))
	}
	out.Host = x.r.Host
	out.ContentLength = length
	out.Header.Set(protocol.HeaderTimeout, protocol.FormatTimeout(left))
	res, err := via.RoundTrip(out)
	late.Stop()
	if err != nil {
		cancel()
		return nil, err
	}
	res.Body = &endingBody{ReadCloser: res.Body, end: cancel}
	return res, nil
}

// endingBody releases the call's context when the answer is closed.
type endingBody struct {
	io.ReadCloser
	end func()
}

// Close ends the call.
func (b *endingBody) Close() error {
	defer b.end()
	return b.ReadCloser.Close()
}

// relay streams an answer to the caller and returns it as a record keeps it. A
// cut answer panics with http.ErrAbortHandler, which ends the caller's stream
// as an error. With finish set, the answer is read to its end without the caller.
func (x *exchange) relay(res *http.Response, finish bool) *protocol.Answer {
	head := x.w.Header()
	passOn(head, res.Header)
	if head.Get(protocol.HeaderOutcome) == "" {
		head.Set(protocol.HeaderOutcome, string(protocol.Answered))
	}
	sum := sha256.New()
	if res.ContentLength < 0 && x.r.Method != http.MethodHead {
		head.Set("Trailer", protocol.HeaderDigest)
	}
	x.w.WriteHeader(res.StatusCode)
	body, n, err := x.stream(res.Body, sum, finish)
	if err == nil && res.ContentLength >= 0 && n != res.ContentLength && x.r.Method != http.MethodHead {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		x.h.counts.cut.Add(1)
		panic(http.ErrAbortHandler)
	}
	digest := sum.Sum(nil)
	if head.Get("Trailer") != "" {
		head.Set(protocol.HeaderDigest, "sha-256=:"+base64.StdEncoding.EncodeToString(digest)+":")
	}
	x.h.counts.add(protocol.Answered)
	a := &protocol.Answer{Status: res.StatusCode, Length: n, Digest: protocol.Digest(digest[:16]), Header: recorded(res.Header)}
	if n <= protocol.MaxInlineBytes {
		a.Kept = true
		a.Body = body
	}
	return a
}

// stream copies and flushes each piece, so that a watch is never held back.
func (x *exchange) stream(r io.Reader, sum hash.Hash, finish bool) (first []byte, n int64, err error) {
	flush, _ := x.w.(http.Flusher)
	buf := make([]byte, streamBytes)
	lost := false
	for {
		m, err := r.Read(buf)
		if m > 0 {
			_, _ = sum.Write(buf[:m])
			n += int64(m)
			if n <= protocol.MaxInlineBytes {
				first = append(first, buf[:m]...)
			}
			if !lost {
				_, e := x.w.Write(buf[:m])
				lost = e != nil
			}
			if lost && !finish {
				return nil, n, io.ErrClosedPipe
			}
			if flush != nil && !lost {
				flush.Flush()
			}
		}
		if err == io.EOF {
			return first, n, nil
		}
		if err != nil {
			return nil, n, err
		}
	}
}

// recorded picks the headers that a repeat gets again.
func recorded(h http.Header) [][2]string {
	var out [][2]string
	size := 0
	for _, k := range []string{"Content-Type", "Location", "Etag", "Content-Language", "Last-Modified"} {
		v := h.Get(k)
		if v == "" || size+len(k)+len(v) > maxRecordedHeaderBytes {
			continue
		}
		size += len(k) + len(v)
		out = append(out, [2]string{k, v})
	}
	return out
}

// replay answers a repeat from its record.
func (x *exchange) replay(a *protocol.Answer) {
	if a == nil || !a.Kept {
		x.tell(protocol.AnswerNotKept, "the request ran; its answer was too large to keep", 0)
		return
	}
	for _, h := range a.Header {
		x.w.Header().Set(h[0], h[1])
	}
	x.h.counts.add(protocol.Answered)
	x.h.counts.repeated.Add(1)
	x.w.Header().Set(protocol.HeaderOutcome, string(protocol.Answered))
	x.w.WriteHeader(a.Status)
	_, _ = x.w.Write(a.Body)
}
