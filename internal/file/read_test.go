package file_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/file"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFile(t *testing.T) { suite.Run(t, "file") }

var _ = Describe("Read", func() {
	It("returns a file up to the limit, and an error above it or if there is none", func() {
		path := filepath.Join(GinkgoT().TempDir(), "x")
		Expect(os.WriteFile(path, []byte("four"), 0o600)).To(Succeed())
		Expect(file.Read(path, 4)).To(Equal([]byte("four")))
		_, err := file.Read(path, 3)
		Expect(err).To(MatchError(currantturn.ErrTooLarge))
		_, err = file.Read(path+"y", 4)
		Expect(err).To(MatchError(os.ErrNotExist))
	})
})
