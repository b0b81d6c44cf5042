package durable

import (
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestWritesAreAtomic(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	broken := errors.New("broken off")
	err := WriteAtomic(OS{}, path, func(f io.Writer) error {
		_, _ = f.Write([]byte("half"))
		return broken
	})
	require.ErrorIs(t, err, broken)
	assert.NoFileExists(t, path)
	require.NoError(t, WriteFile(OS{}, path, []byte("one "), nil, []byte("two")))
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, "one two", string(content))
	assert.NoFileExists(t, path+TempSuffix)
	require.Error(t, WriteFile(OS{}, filepath.Join(path, "below a file"), nil))
	require.Error(t, SyncDir(filepath.Join(path, "nowhere")))
}
