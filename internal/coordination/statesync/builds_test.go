package statesync_test

import (
	"encoding/hex"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/statesync"
	"github.com/currantturn/currantturn/internal/protocol/message"
	"github.com/currantturn/currantturn/internal/state/roster"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The files of testdata/builds hold a heartbeat as the build of a commit wrote it.
var _ = Describe("a heartbeat of an earlier build", func() {
	heartbeat := statesync.Heartbeat{
		Position: currantturn.Position{Revision: 41}, Version: 9, AgeMS: 250, Capacity: 200, Since: 40,
		Peers: []netip.AddrPort{netip.MustParseAddrPort("10.1.0.2:7120")},
		Changed: []roster.Entry{{Registration: currantturn.Registration{
			ID: "i-1", Service: "verify", Address: netip.MustParseAddrPort("10.2.0.9:8080"), FailureDomain: "a", Slots: 3,
			State: currantturn.BackendActive,
		}}},
	}
	files, err := filepath.Glob("testdata/builds/*.golden")
	if err != nil || len(files) == 0 {
		panic("no heartbeats of earlier builds")
	}
	for _, file := range files {
		It("is read, and written alike, as "+strings.TrimSuffix(filepath.Base(file), ".golden")+" does", func() {
			content, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			_, text, _ := strings.Cut(strings.TrimSpace(string(content)), " ")
			encoded, err := hex.DecodeString(text)
			Expect(err).NotTo(HaveOccurred())
			Expect(message.Decode(encoded)).To(Equal(heartbeat))
			written, err := message.Encode(heartbeat)
			Expect(err).NotTo(HaveOccurred())
			Expect(hex.EncodeToString(written)).To(Equal(text))
		})
	}
})
