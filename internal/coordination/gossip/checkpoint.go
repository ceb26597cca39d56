package gossip

import (
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/state/configuration"
	"github.com/currantturn/currantturn/pkg/patch"
)

// download is the checkpoint that is being fetched from peers, in chunks.
type download struct {
	position         uint64
	checksum         patch.Digest
	size             int
	peers            []netip.AddrPort // peers that offered the checkpoint
	chunks           [][]byte
	requestedAt      []time.Time // when each chunk was last requested
	missing          int         // chunks not yet received
	lastProgress     time.Time   // when the last chunk arrived
	nextOfferRequest time.Time   // when to request offers again
}

// running reports whether a download is in progress.
func (d *download) running() bool {
	return d.chunks != nil
}

// onFetch replies with the requested chunks of the checkpoint, or with an offer
// if the request names no checksum.
func (m *Machine) onFetch(from netip.AddrPort, f *Fetch, out *currantturn.Effects) {
	if len(f.Sum) == 0 {
		m.sendOffer(from, out)
		return
	}
	c, err := m.log.Checkpoint()
	if err != nil || !slices.Equal(f.Sum, c.Sum[:]) {
		return
	}
	if f.Index < 0 || f.Index > maxCheckpointParts {
		return
	}
	for i := f.Index; i < f.Index+min(f.Count, pullWindow); i++ {
		start := i * partBytes
		if start >= len(c.Bytes) {
			return
		}
		data := c.Bytes[start:min(start+partBytes, len(c.Bytes))]
		if !m.allowReply(len(data)) {
			return
		}
		m.counters.PartsSent++
		out.Send(from, Chunk{Sum: f.Sum, Index: i, Data: data})
	}
}

// sendOffer offers the local checkpoint and names some random peers.
func (m *Machine) sendOffer(to netip.AddrPort, out *currantturn.Effects) {
	if m.head().Position == 0 || !m.allowReply(offerBytes) {
		return
	}
	c, err := m.log.Checkpoint()
	if err != nil {
		return
	}
	o := Offer{Position: c.Position, Sum: slices.Clone(c.Sum[:]), Bytes: len(c.Bytes)}
	for range maxOfferPeers {
		if a, ok := m.peers.pick(m.random); ok && a != to {
			o.Peers = append(o.Peers, a)
		}
	}
	out.Send(to, o)
}

// onOffer starts the download of a later configuration, or adds the sender to
// the sources of the running download.
func (m *Machine) onOffer(now time.Time, from netip.AddrPort, o *Offer, out *currantturn.Effects) {
	for _, a := range o.Peers[:min(len(o.Peers), maxOfferPeers)] {
		m.peers.addLearned(a)
	}
	m.peers.addLearned(from)
	sum, ok := toDigest(o.Sum)
	chunks := (o.Bytes + partBytes - 1) / partBytes
	if !ok || chunks < 1 || chunks > maxCheckpointParts || o.Position <= m.head().Position {
		return
	}
	m.raiseHighestKnown(now, o.Position)
	d := &m.download
	if d.running() && d.checksum == sum {
		if !slices.Contains(d.peers, from) && len(d.peers) < maxLearnedPeers {
			d.peers = append(d.peers, from)
		}
		return
	}
	if d.running() && d.position >= o.Position {
		return
	}
	m.download = download{
		position: o.Position, checksum: sum, size: o.Bytes, peers: []netip.AddrPort{from},
		chunks: make([][]byte, chunks), requestedAt: make([]time.Time, chunks), missing: chunks, lastProgress: now, nextOfferRequest: now,
	}
	m.tickDownload(now, out)
}

// tickDownload requests the missing chunks and, while a checkpoint is needed,
// further offers. It drops a download that stalled or is no longer needed.
func (m *Machine) tickDownload(now time.Time, out *currantturn.Effects) {
	d := &m.download
	wanted := d.running() || m.head().Position == 0
	if wanted && !now.Before(d.nextOfferRequest) {
		d.nextOfferRequest = now.Add(joinExchangeInterval)
		for range joinFanout {
			if to, ok := m.peers.pick(m.random); ok {
				out.Send(to, Fetch{})
			}
		}
	}
	if !d.running() {
		return
	}
	if now.Sub(d.lastProgress) > checkpointTimeout || d.position <= m.head().Position {
		m.download = download{}
		return
	}
	m.requestChunks(now, out)
}

// requestChunks requests missing chunks, up to maxChunksInFlight at a time. Each
// request covers consecutive chunks and goes to a random source.
func (m *Machine) requestChunks(now time.Time, out *currantturn.Effects) {
	d := &m.download
	waiting := 0
	for i := 0; i < len(d.chunks) && waiting < maxChunksInFlight; i++ {
		if d.chunks[i] != nil {
			continue
		}
		n := d.markRequested(now, i)
		waiting += max(n, 1)
		if n == 0 {
			continue
		}
		m.counters.PullsSent++
		peer := d.peers[m.random.IntN(len(d.peers))]
		out.Send(peer, Fetch{Sum: slices.Clone(d.checksum[:]), Index: i, Count: n})
		i += n - 1
	}
}

// markRequested marks up to pullWindow consecutive missing chunks from i on as
// requested and returns their number. It stops at the first chunk that has
// arrived or was requested less than pullTimeout ago.
func (d *download) markRequested(now time.Time, i int) int {
	n := 0
	for n < pullWindow && i+n < len(d.chunks) && d.chunks[i+n] == nil && now.Sub(d.requestedAt[i+n]) >= pullTimeout {
		d.requestedAt[i+n] = now
		n++
	}
	return n
}

// onChunk stores a chunk. The last one completes the checkpoint, which is
// restored if its checksum matches.
func (m *Machine) onChunk(now time.Time, from netip.AddrPort, c *Chunk, out *currantturn.Effects) {
	d := &m.download
	sum, ok := toDigest(c.Sum)
	if !ok || !d.running() || sum != d.checksum || c.Index < 0 || c.Index >= len(d.chunks) || d.chunks[c.Index] != nil {
		return
	}
	d.chunks[c.Index] = c.Data
	d.lastProgress = now
	d.missing--
	if d.missing > 0 {
		m.requestChunks(now, out)
		return
	}
	encoded := slices.Concat(d.chunks...)
	m.download = download{}
	if configuration.SumOf(encoded) != sum {
		return
	}
	if m.restore(now, encoded, "peers", out) {
		m.pullIfIdle(now, from, out)
	}
}

// restore replaces the configuration by a later one, decoded from a snapshot or
// checkpoint. It reports whether the configuration was replaced.
func (m *Machine) restore(now time.Time, encoded []byte, source string, out *currantturn.Effects) bool {
	c, err := m.opts.Decode(encoded)
	if err != nil {
		return false
	}
	if localDigest, known := m.log.DigestAt(c.Position); known && localDigest != c.Digest {
		m.reportDivergence(c.Position, c.Digest, out)
		return false
	}
	if err := m.log.Restore(c); err != nil {
		if errors.Is(err, configuration.ErrDiverged) {
			m.reportDivergence(c.Position, c.Digest, out)
		}
		return false
	}
	m.configuredAt = now
	m.counters.CheckpointsTaken++
	m.raiseHighestKnown(now, c.Position)
	m.parts = recordAssembly{}
	for position := range m.pending {
		if position <= c.Position {
			delete(m.pending, position)
		}
	}
	out.Event(event.SnapshotLoaded,
		event.F("version", uint64(c.Version)), event.F("bytes", len(encoded)), event.F("source", source))
	m.putInForce(out)
	return true
}
