// Package envelope encodes the header that carries a caller's packet between
// processes, with encoding/binary and without allocation.
package envelope
