// Package message encodes control messages between processes as CBOR, tagged
// with their kind.
package message
