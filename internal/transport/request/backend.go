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

// errUndelimitedAnswer reports an answer that ends with its connection, so that
// a truncated answer would look complete.
var errUndelimitedAnswer = errors.New("backend server's answer has neither a Content-Length nor chunked encoding")

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyEndToEndHeaders copies all headers except the hop-by-hop ones, which
// include those that the Connection header lists.
func copyEndToEndHeaders(dst, src http.Header) {
	connectionOptions := strings.Split(strings.Join(src.Values("Connection"), ","), ",")
	for k, v := range src {
		isConnectionOption := slices.ContainsFunc(connectionOptions, func(option string) bool {
			return strings.EqualFold(strings.TrimSpace(option), k)
		})
		if !isConnectionOption && !slices.Contains(hopByHopHeaders, k) {
			dst[k] = v
		}
	}
}

// bodyToSend returns the caller's body in a form that the HTTP client never
// sends twice. Only an idempotent request without a body may be sent again.
func (x *exchange) bodyToSend() io.ReadCloser {
	if x.params.Idempotent && x.r.ContentLength == 0 {
		return http.NoBody
	}
	return &oneShotBody{x.r.Body}
}

// callBackend sends the request to the backend server and returns when the
// answer's headers have arrived or the deadline has passed.
func (x *exchange) callBackend(ctx context.Context, body io.ReadCloser, length int64) (*http.Response, error) {
	res, err := x.roundTrip(ctx, x.h.backendTransport, "http://"+x.h.opts.Backend.String(), body, length)
	if err != nil {
		return nil, err
	}
	chunked := slices.Contains(res.TransferEncoding, "chunked")
	if res.ContentLength < 0 && !chunked && x.r.Method != http.MethodHead {
		_ = res.Body.Close()
		return nil, errUndelimitedAnswer
	}
	return res, nil
}

// roundTrip sends the request with its remaining time as its timeout. The
// deadline applies to the answer's headers only, not to its body.
func (x *exchange) roundTrip(
	ctx context.Context, transport http.RoundTripper, baseURL string, body io.ReadCloser, length int64,
) (*http.Response, error) {
	remaining := x.deadline.Sub(x.h.opts.Clock())
	ctx, cancel := context.WithCancel(ctx)
	deadlineTimer := time.AfterFunc(remaining, cancel)
	forwarded, err := http.NewRequestWithContext(ctx, x.r.Method, baseURL+x.r.URL.RequestURI(), body)
	if err != nil {
		cancel()
		return nil, err
	}
	copyEndToEndHeaders(forwarded.Header, x.r.Header)
	forwarded.Header.Del(protocol.HeaderService)
	if transport == x.h.peerTransport {
		forwarded.Header.Set(protocol.HeaderService, string(x.h.opts.Service))
	}
	forwarded.Host = x.r.Host
	forwarded.ContentLength = length
	forwarded.Header.Set(protocol.HeaderTimeout, protocol.FormatTimeout(remaining))
	res, err := transport.RoundTrip(forwarded)
	deadlineTimer.Stop()
	if err != nil {
		cancel()
		return nil, err
	}
	res.Body = &bodyWithCancel{ReadCloser: res.Body, cancel: cancel}
	return res, nil
}

// bodyWithCancel is an answer's body that cancels the call's context on Close.
type bodyWithCancel struct {
	io.ReadCloser
	cancel func()
}

// Close closes the body and cancels the call's context.
func (b *bodyWithCancel) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// relay streams an answer to the caller and returns it in the form that a record
// stores. If the answer is cut off, relay panics with http.ErrAbortHandler,
// which ends the caller's stream with an error. With readToEnd set, the answer
// is read to its end even if the caller has gone.
func (x *exchange) relay(res *http.Response, readToEnd bool) *protocol.Answer {
	header := x.w.Header()
	copyEndToEndHeaders(header, res.Header)
	if header.Get(protocol.HeaderOutcome) == "" {
		header.Set(protocol.HeaderOutcome, string(protocol.Answered))
	}
	hasher := sha256.New()
	if res.ContentLength < 0 && x.r.Method != http.MethodHead {
		header.Set("Trailer", protocol.HeaderDigest)
	}
	x.w.WriteHeader(res.StatusCode)
	inlineBody, length, err := x.streamBody(res.Body, hasher, readToEnd)
	if err == nil && res.ContentLength >= 0 && length != res.ContentLength && x.r.Method != http.MethodHead {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		x.h.counters.cutOff.Add(1)
		panic(http.ErrAbortHandler)
	}
	digest := hasher.Sum(nil)
	if header.Get("Trailer") != "" {
		header.Set(protocol.HeaderDigest, "sha-256=:"+base64.StdEncoding.EncodeToString(digest)+":")
	}
	x.h.counters.countOutcome(protocol.Answered)
	answer := &protocol.Answer{
		Status: res.StatusCode, Length: length, Digest: protocol.Digest(digest[:16]), Header: recordedHeaders(res.Header),
	}
	if length <= protocol.MaxInlineBytes {
		answer.BodyKept = true
		answer.Body = inlineBody
	}
	return answer
}

// streamBody copies an answer's body to the caller and to hasher, and returns
// its length and, up to protocol.MaxInlineBytes, its content. It flushes after
// every read, so that the events of a watch are not delayed.
func (x *exchange) streamBody(r io.Reader, hasher hash.Hash, readToEnd bool) (inlineBody []byte, length int64, err error) {
	flusher, _ := x.w.(http.Flusher)
	buf := make([]byte, streamBufferBytes)
	callerGone := false
	for {
		n, err := r.Read(buf)
		if n > 0 {
			_, _ = hasher.Write(buf[:n])
			length += int64(n)
			if length <= protocol.MaxInlineBytes {
				inlineBody = append(inlineBody, buf[:n]...)
			}
			if !callerGone {
				_, writeErr := x.w.Write(buf[:n])
				callerGone = writeErr != nil
			}
			if callerGone && !readToEnd {
				return nil, length, io.ErrClosedPipe
			}
			if flusher != nil && !callerGone {
				flusher.Flush()
			}
		}
		if err == io.EOF {
			return inlineBody, length, nil
		}
		if err != nil {
			return nil, length, err
		}
	}
}

// recordedHeaders returns the headers that a record stores for repeats of the
// request, as far as they fit into maxRecordedHeaderBytes.
func recordedHeaders(h http.Header) [][2]string {
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

// replay answers a repeated request from the record of its key.
func (x *exchange) replay(answer *protocol.Answer) {
	if answer == nil || !answer.BodyKept {
		x.writeOutcome(protocol.AnswerNotKept, "the request ran; its answer was too large to keep", 0)
		return
	}
	for _, h := range answer.Header {
		x.w.Header().Set(h[0], h[1])
	}
	x.h.counters.countOutcome(protocol.Answered)
	x.h.counters.replayed.Add(1)
	x.w.Header().Set(protocol.HeaderOutcome, string(protocol.Answered))
	x.w.WriteHeader(answer.Status)
	_, _ = x.w.Write(answer.Body)
}
