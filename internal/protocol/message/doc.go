// Package message encodes the control messages between processes as CBOR, each
// tagged with its kind.
package message
