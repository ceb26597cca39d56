package seal

import (
	"bytes"
	"encoding/hex"
	"slices"
	"strconv"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// Key is a fleet key; its ID must never be reused for another secret.
type Key struct {
	ID     uint8
	Secret [SecretBytes]byte
}

// Ring holds the valid keys; datagrams are sealed with the active one.
type Ring struct {
	Active uint8
	Keys   []Key
}

func (r Ring) equal(other Ring) bool {
	return r.Active == other.Active && slices.Equal(r.Keys, other.Keys)
}

// ParseRing reads the section "keys" of an INI file: the entry "active" is the ID
// of the active key, and each other entry is an ID with its secret in hexadecimal.
func ParseRing(p []byte) (Ring, error) {
	file, err := ini.Load(bytes.NewReader(p))
	if err != nil {
		return Ring{}, eris.Wrap(currantturn.ErrMalformed, "key file is not a valid INI file")
	}
	var r Ring
	for _, entry := range file.Section("keys").Keys() {
		if err := r.addEntry(entry.Name(), entry.String()); err != nil {
			return Ring{}, err
		}
	}
	return r, r.validate()
}

// addEntry adds an entry of the key file to the ring; its errors never contain the
// secret.
func (r *Ring) addEntry(name, value string) error {
	idText := name
	if name == "active" {
		idText = value
	}
	id, err := strconv.ParseUint(idText, 10, 8)
	if err != nil {
		return eris.Wrapf(currantturn.ErrMalformed, "key entry %q is not an ID from 0 to 255", name)
	}
	if name == "active" {
		r.Active = uint8(id)
		return nil
	}
	secret, err := hex.DecodeString(value)
	if err != nil || len(secret) != SecretBytes {
		return eris.Wrapf(currantturn.ErrMalformed, "key %d is not %d bytes in hexadecimal", id, SecretBytes)
	}
	r.Keys = append(r.Keys, Key{ID: uint8(id), Secret: [SecretBytes]byte(secret)})
	return nil
}

// validate checks the number of keys, that their IDs differ, and that the active
// key is among them.
func (r *Ring) validate() error {
	if len(r.Keys) == 0 || len(r.Keys) > MaxKeys {
		return eris.Wrapf(currantturn.ErrMalformed, "%d keys, want 1 to %d", len(r.Keys), MaxKeys)
	}
	if len(r.Keys) == MaxKeys && r.Keys[0].ID == r.Keys[1].ID {
		return eris.Wrapf(currantturn.ErrMalformed, "key %d is listed twice", r.Keys[0].ID)
	}
	for _, k := range r.Keys {
		if k.ID == r.Active {
			return nil
		}
	}
	return eris.Wrapf(currantturn.ErrMalformed, "active key %d is missing", r.Active)
}
