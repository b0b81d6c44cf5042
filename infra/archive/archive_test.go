package archive

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/infra/durable"
)

const testFileMode = 0o600

func TestPutAndGet(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "texts")
	a, err := Open(dir, nil)
	require.NoError(t, err)
	long := strings.Repeat("x", 1<<16)
	require.NoError(t, a.Put([]Entry{{Name: "../job/1", Texts: []string{"one", "", long, "four"}}, {Name: "empty"}}))
	require.NoError(t, a.Put([]Entry{{Name: "../job/1", Texts: []string{"other"}}}))
	for range 2 {
		texts, err := a.Get("../job/1", 0, 1<<20)
		require.NoError(t, err)
		assert.Equal(t, []string{"one", "", long, "four"}, texts, "a second Put does not change the content")
		texts, err = a.Get("../job/1", 1, 100)
		require.NoError(t, err)
		assert.Equal(t, []string{"", long}, texts, "until maxBytes is reached")
		texts, err = a.Get("../job/1", 9, 100)
		require.NoError(t, err)
		assert.Empty(t, texts)
		texts, err = a.Get("empty", 0, 100)
		require.NoError(t, err)
		assert.Empty(t, texts)
		assert.True(t, a.Has("empty"))
		a, err = Open(dir, nil)
		require.NoError(t, err)
	}
	_, err = a.Get("unknown", 0, 1)
	assert.ErrorIs(t, err, ErrMissing)
}

func TestRetainOnlyRemovesOtherNames(t *testing.T) {
	dir := t.TempDir()
	a, err := Open(dir, nil)
	require.NoError(t, err)
	require.NoError(t, a.Put([]Entry{{Name: "one"}, {Name: "two"}}))
	require.NoError(t, a.RetainOnly([]string{"two", "three"}))
	assert.False(t, a.Has("one"))
	assert.True(t, a.Has("two"))
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	assert.Len(t, files, 1)
}

func TestOpenRemovesInterruptedWrites(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, fileName("one")+durable.TempSuffix), []byte("half"), testFileMode))
	a, err := Open(dir, nil)
	require.NoError(t, err)
	assert.False(t, a.Has("one"))
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	assert.Empty(t, files)
}

func TestGetDetectsDamage(t *testing.T) {
	dir := t.TempDir()
	a, err := Open(dir, nil)
	require.NoError(t, err)
	require.NoError(t, a.Put([]Entry{{Name: "one", Texts: []string{"first", "second"}}}))
	path := filepath.Join(dir, fileName("one"))
	intact, err := os.ReadFile(path)
	require.NoError(t, err)
	for at := range intact {
		damaged := append([]byte(nil), intact...)
		damaged[at] ^= 1
		require.NoError(t, os.WriteFile(path, damaged, testFileMode))
		_, err := a.Get("one", 0, 100)
		assert.ErrorIs(t, err, ErrDamaged, at)
	}
	require.NoError(t, os.WriteFile(path, intact[:len(intact)-1], testFileMode))
	_, err = a.Get("one", 0, 100)
	assert.ErrorIs(t, err, ErrDamaged)
	require.NoError(t, a.Drop([]string{"one", "unknown"}))
	assert.False(t, a.Has("one"))
	require.NoError(t, a.Put([]Entry{{Name: "one", Texts: []string{"again"}}}))
	texts, err := a.Get("one", 0, 100)
	require.NoError(t, err)
	assert.Equal(t, []string{"again"}, texts)
}
