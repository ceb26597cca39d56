package relay_test

import (
	"encoding/hex"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The files of testdata/builds hold frames as the build of a commit wrote them, one in a line
// after its kind. Old and new processes run side by side during an upgrade.
var _ = Describe("frames of earlier builds", func() {
	flow := relay.Flow{
		Caller: netip.MustParseAddrPort("100.64.0.7:40001"), Service: netip.MustParseAddrPort("198.18.0.1:443"),
	}
	flows := relay.Flows(nil).Append(flow.Key(), 77)
	load := relay.Load{Running: 2, Flows: 7, ServiceTimeUS: 31000, Waiting: 3}
	envelope := currantturn.Envelope{
		Intent: currantturn.IntentHeld, Service: "verify", Packet: currantturn.Packet{Payload: []byte("packet")},
		Demand:   currantturn.Demand{Slots: 3, Priority: 1, LatencyObjective: 150 * time.Millisecond, Timeout: time.Second},
		Position: currantturn.Position{Revision: 41},
	}
	messages := map[string]currantturn.Message{}
	for _, m := range []currantturn.Message{
		relay.Accepted{Flow: flow, Load: load},
		relay.Query{Flows: flows, Revision: 41},
		relay.QueryReply{Held: flows, Absent: flows, Unsure: flows, Revision: 41},
		relay.Held{Flow: flow},
		relay.Absent{Flow: flow, Revision: 41},
		relay.Report{Load: load},
		relay.Probe{},
		relay.Announce{Service: "verify", FailureDomain: "a"},
	} {
		messages[string(m.Kind())] = m
	}
	// Earlier builds also write a field of queries that is not read any more.
	differs := map[string]bool{"d819878 query": true}

	files, err := filepath.Glob("testdata/builds/*.golden")
	if err != nil || len(files) == 0 {
		panic("no frames of earlier builds")
	}
	for _, file := range files {
		build := strings.TrimSuffix(filepath.Base(file), ".golden")
		It("are read, and written alike, as "+build+" does", func() {
			content, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			for line := range strings.Lines(string(content)) {
				kind, text, _ := strings.Cut(strings.TrimSpace(line), " ")
				frame, err := hex.DecodeString(text)
				Expect(err).NotTo(HaveOccurred())
				var e currantturn.Envelope
				got, err := relay.Decode(frame, "other", &e)
				Expect(err).NotTo(HaveOccurred(), "%s", line)
				var written []byte
				if kind == "packet" {
					Expect(e).To(Equal(envelope))
					written = relay.AppendPacket(nil, &envelope)
				} else {
					Expect(got).To(Equal(messages[kind]), "%s", line)
					written, err = relay.AppendMessage(nil, got)
					Expect(err).NotTo(HaveOccurred())
				}
				if !differs[build+" "+kind] {
					Expect(hex.EncodeToString(written)).To(Equal(text), "%s", kind)
				}
			}
		})
	}
})
