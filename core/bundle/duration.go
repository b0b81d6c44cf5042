package bundle

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns the text form, such as "1m30s".
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText writes the text form.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads the text form.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration such as 30s", text)
	}
	*d = Duration(parsed)
	return nil
}
