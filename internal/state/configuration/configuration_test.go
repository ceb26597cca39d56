package configuration_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/state/configuration"
	"github.com/currantturn/currantturn/internal/suite"
	"github.com/currantturn/currantturn/pkg/patch"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestConfiguration(t *testing.T) { suite.Run(t, "configuration") }

// large returns a configuration of 470 services and 9,600 backend servers.
func large() *patch.Configuration {
	c := &patch.Configuration{Position: 200, Version: 200, Past: make([]patch.Digest, patch.PastDigests)}
	for i := range c.Past {
		c.Past[i] = patch.Digest{byte(i)}.Chain(&currantturn.Record{Position: uint64(i)})
	}
	for i := range 470 {
		c.Services = append(c.Services, currantturn.Service{
			Name: currantturn.ServiceName(fmt.Sprintf("vehicle-history-%04d", i)), Limits: patch.DefaultLimits,
			Addresses: []netip.AddrPort{netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)}), 443)},
		})
	}
	domains := []currantturn.FailureDomain{"kivukoni", "upanga", "kurasini", "mikocheni", "hall-a"}
	for i := range 9_600 {
		s := &c.Services[i%470]
		ip := netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)})
		s.Backends = append(s.Backends, currantturn.BackendServer{
			ID: currantturn.BackendID(fmt.Sprintf("%s-%05d", s.Name, i)), FailureDomain: domains[i%5],
			Agent: netip.AddrPortFrom(ip, 7000), Stream: netip.AddrPortFrom(ip, 7001),
			Slots: 3 + i%5, Weight: 1 + i%7, State: currantturn.BackendActive,
		})
	}
	return c
}

func record(position uint64, text string) *currantturn.Record {
	return &currantturn.Record{Position: position, Author: "asha", Time: time.Unix(9, 0).UTC(), Patch: []byte(text)}
}

var _ = Describe("snapshots", func() {
	It("hold 9,600 backend servers within half the limit of a value", func() {
		c := large()
		p, err := configuration.EncodeSnapshot(c)
		Expect(err).NotTo(HaveOccurred())
		plain, _ := json.Marshal(c.Services)
		AddReportEntry("snapshot bytes", len(p))
		AddReportEntry("the same as JSON", len(plain))
		Expect(len(p)).To(BeNumerically("<", configuration.MaxSnapshotBytes/2))
		got, err := configuration.DecodeSnapshot(p)
		Expect(err).NotTo(HaveOccurred())
		Expect(fmt.Sprint(got) == fmt.Sprint(c)).To(BeTrue())
		again, err := configuration.EncodeSnapshot(got)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(p), "encoding the decoded configuration again gives the same bytes")
	})

	DescribeTable("are refused if the configuration is not valid", func(change func(*patch.Configuration)) {
		c := large()
		change(c)
		p, err := configuration.EncodeSnapshot(c)
		Expect(err).NotTo(HaveOccurred())
		_, err = configuration.DecodeSnapshot(p)
		Expect(err).To(MatchError(currantturn.ErrMalformed))
	},
		Entry("services out of order", func(c *patch.Configuration) { c.Services[0].Name = "z" }),
		Entry("duplicate backend server", func(c *patch.Configuration) { c.Services[0].Backends[1] = c.Services[0].Backends[0] }),
		Entry("version higher than the position", func(c *patch.Configuration) { c.Version = currantturn.Version(c.Position + 1) }),
		Entry("too many earlier digests", func(c *patch.Configuration) { c.Past = append(c.Past, patch.Digest{}) }),
	)

	It("are refused if the bytes are empty, truncated, corrupted or too large", func() {
		p, _ := configuration.EncodeSnapshot(large())
		for _, bad := range [][]byte{nil, p[:len(p)/2], append([]byte("x"), p...)} {
			_, err := configuration.DecodeSnapshot(bad)
			Expect(err).To(MatchError(currantturn.ErrMalformed))
		}
		_, err := configuration.DecodeSnapshot(make([]byte, configuration.MaxSnapshotBytes+1))
		Expect(err).To(MatchError(currantturn.ErrTooLarge))
	})
})

var _ = Describe("the configuration log", func() {
	newLog := func(n uint64, text string) *configuration.Log {
		l := configuration.NewLog(&patch.Configuration{})
		for i := uint64(1); i <= n; i++ {
			_, err := l.Append(record(i, text))
			Expect(err).NotTo(HaveOccurred())
		}
		return l
	}

	It("returns the verdict of known records and refuses gaps and contradictions", func() {
		l := newLog(5, "{}")
		v, err := l.Append(record(3, "{}"))
		Expect(err).NotTo(HaveOccurred())
		Expect(v.Position).To(BeEquivalentTo(3))
		_, err = l.Append(record(3, "{ }"))
		Expect(err).To(MatchError(configuration.ErrDiverged))
		_, err = l.Append(record(7, "{}"))
		Expect(err).To(MatchError(configuration.ErrGap))
		Expect(l.Current().Position).To(BeEquivalentTo(5))
	})

	It("restores only configurations that are later and have the same earlier digests", func() {
		l := newLog(5, "{}")
		Expect(l.Restore(newLog(5, "{}").Current())).To(MatchError(configuration.ErrNotNewer))
		Expect(l.Restore(newLog(9, "{ }").Current())).To(MatchError(configuration.ErrDiverged))
		Expect(l.Restore(newLog(9, "{}").Current())).To(Succeed())
		Expect(l.Current().Position).To(BeEquivalentTo(9))
		_, kept := l.Entry(9)
		Expect(kept).To(BeFalse())
	})

	It("keeps a limited number of records, including those after its checkpoint", func() {
		l := newLog(3*configuration.RetainedRecords+7, "{}")
		Expect(l.Entries()).To(HaveLen(configuration.RetainedRecords))
		c, err := l.Checkpoint()
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Position % configuration.CheckpointEvery).To(BeZero())
		_, kept := l.Entry(c.Position + 1)
		Expect(kept).To(BeTrue())
	})
})

// TestSnapshotAnywhere checks that a log restored from a snapshot at any position
// returns the same verdicts and ends with the same configuration as the whole log.
func TestSnapshotAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := configuration.NewLog(&patch.Configuration{})
		part := configuration.NewLog(&patch.Configuration{})
		n := uint64(rapid.IntRange(1, 40).Draw(t, "records"))
		at := uint64(rapid.IntRange(0, int(n)).Draw(t, "snapshot"))
		for i := uint64(1); i <= n; i++ {
			buildsOn := whole.Current().Version
			if rapid.IntRange(0, 3).Draw(t, "race") == 0 {
				buildsOn++
			}
			p, _ := patch.Encode(&patch.Patch{BuildsOn: buildsOn, Operations: []patch.Operation{patch.AddService{
				Service:   currantturn.ServiceName(fmt.Sprint("s-", rapid.IntRange(0, 30).Draw(t, "service"))),
				Addresses: []netip.AddrPort{netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(i)}), 443)},
			}}})
			r := record(i, string(p))
			want, _ := whole.Append(r)
			if i > at {
				if got, err := part.Append(r); err != nil || fmt.Sprint(got) != fmt.Sprint(want) {
					t.Fatalf("restored log returned verdict %v and error %v, want verdict %v", got, err, want)
				}
			}
			if i == at {
				snapshot, _ := configuration.EncodeSnapshot(whole.Current())
				c, err := configuration.DecodeSnapshot(snapshot)
				if err != nil || part.Restore(c) != nil {
					t.Fatal("snapshot not restored:", err)
				}
			}
		}
		if fmt.Sprint(part.Current()) != fmt.Sprint(whole.Current()) {
			t.Fatalf("restored log has configuration %v, want %v", part.Current(), whole.Current())
		}
	})
}
