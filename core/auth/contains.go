package auth

import (
	"bytes"
	"strconv"
	"strings"
	"unicode/utf8"
)

const (
	percentDigits = 2
	unicodeDigits = 4
)

// ContainsKey reports whether text contains the key, plain or percent-encoded.
func ContainsKey(text, key string) bool {
	if key == "" || len(text) < len(key) {
		return false
	}
	if strings.Contains(text, key) {
		return true
	}
	if !strings.ContainsAny(text, "%+") {
		return false
	}
	decoded := decodePercentEscapes([]byte(text))
	if bytes.Contains(decoded, []byte(key)) {
		return true
	}
	return bytes.Contains(bytes.ReplaceAll(decoded, []byte("+"), []byte(" ")), []byte(key))
}

// BodyContainsKey reports whether a body contains the key, plain,
// percent-encoded or with JSON string escapes.
func BodyContainsKey(body []byte, key string) bool {
	if key == "" || len(body) < len(key) {
		return false
	}
	if bytes.Contains(body, []byte(key)) {
		return true
	}
	if bytes.IndexByte(body, '\\') >= 0 && bytes.Contains(decodeJSONEscapes(body), []byte(key)) {
		return true
	}
	return bytes.IndexByte(body, '%') >= 0 && bytes.Contains(decodePercentEscapes(body), []byte(key))
}

// decodePercentEscapes decodes all valid percent escapes and leaves the rest
// unchanged.
func decodePercentEscapes(text []byte) []byte {
	decoded := make([]byte, 0, len(text))
	for i := 0; i < len(text); i++ {
		if text[i] == '%' {
			if value, ok := hexValue(text[i+1:], percentDigits); ok {
				decoded = append(decoded, byte(value))
				i += percentDigits
				continue
			}
		}
		decoded = append(decoded, text[i])
	}
	return decoded
}

// decodeJSONEscapes decodes \uXXXX escapes anywhere in the text and drops the
// backslash of all other JSON escapes.
func decodeJSONEscapes(text []byte) []byte {
	decoded := make([]byte, 0, len(text))
	for i := 0; i < len(text); i++ {
		if text[i] != '\\' || i+1 == len(text) {
			decoded = append(decoded, text[i])
			continue
		}
		i++
		if text[i] == 'u' {
			if value, ok := hexValue(text[i+1:], unicodeDigits); ok {
				decoded = utf8.AppendRune(decoded, rune(value))
				i += unicodeDigits
				continue
			}
		}
		decoded = append(decoded, text[i])
	}
	return decoded
}

func hexValue(text []byte, digits int) (uint64, bool) {
	if len(text) < digits {
		return 0, false
	}
	value, err := strconv.ParseUint(string(text[:digits]), 16, 32)
	return value, err == nil
}
