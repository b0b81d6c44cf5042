package rpc

import (
	"bytes"
	"testing"

	"github.com/klauspost/compress/s2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/catalog"
)

func TestPackedCatalogRoundTrip(t *testing.T) {
	for _, body := range [][]byte{nil, []byte("{}"), bytes.Repeat([]byte(`{"name":"route"},`), 10000)} {
		state := &catalog.State{Revision: 9, Version: 4, Body: body, DataCentresOut: []string{"a"}, InitialHosts: []uint64{1, 2}}
		packed := PackCatalog(state, nil)
		assert.Nil(t, packed.State.Body)
		unpacked, err := packed.Unpack()
		require.NoError(t, err)
		assert.Equal(t, state, unpacked)
	}
}

func TestUnchangedBodyIsNotCompressedAgain(t *testing.T) {
	first := PackCatalog(&catalog.State{Revision: 1, Version: 4, Body: []byte("four")}, nil)
	same := PackCatalog(&catalog.State{Revision: 2, Version: 4, Body: []byte("four"), DataCentresOut: []string{"a"}}, first)
	assert.Same(t, &first.Body[0], &same.Body[0])
	assert.Equal(t, uint64(2), same.State.Revision)
	next, err := PackCatalog(&catalog.State{Revision: 3, Version: 5, Body: []byte("five")}, same).Unpack()
	require.NoError(t, err)
	assert.Equal(t, "five", string(next.Body))
}

func TestUnpackRejectsCorruptBody(t *testing.T) {
	_, err := (&PackedCatalog{Body: []byte{0xff}}).Unpack()
	require.Error(t, err)
	intact := s2.Encode(nil, bytes.Repeat([]byte("route"), 100))
	_, err = (&PackedCatalog{Body: intact[:len(intact)/2]}).Unpack()
	require.Error(t, err)
}
