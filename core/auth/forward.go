package auth

import (
	"net/url"
	"strings"
)

// allowedRequestHeaders are the request headers forwarded to a target, in lower
// case.
var allowedRequestHeaders = map[string]struct{}{
	"accept":           {},
	"accept-language":  {},
	"content-language": {},
	"content-type":     {},
	"traceparent":      {},
}

// allowedResponseHeaders are the headers of a target's response returned to the
// caller, in lower case.
var allowedResponseHeaders = map[string]struct{}{
	"cache-control":       {},
	"content-disposition": {},
	"content-encoding":    {},
	"content-language":    {},
	"content-type":        {},
	"etag":                {},
	"last-modified":       {},
	"location":            {},
	"retry-after":         {},
}

// keyQueryFields are query fields, in lower case, in which callers are known to
// send keys.
var keyQueryFields = map[string]struct{}{
	"access_token":  {},
	"api-key":       {},
	"api_key":       {},
	"apikey":        {},
	"authorization": {},
	"key":           {},
	"token":         {},
}

// MayForwardHeader reports whether a request header may be forwarded to a
// target. key is the caller's key, or empty.
func MayForwardHeader(name, value, key string) bool {
	_, allowed := allowedRequestHeaders[strings.ToLower(name)]
	return allowed && !ContainsKey(value, key)
}

// MayReturnHeader reports whether a header of a target's response may be
// returned to the caller.
func MayReturnHeader(name string) bool {
	_, allowed := allowedResponseHeaders[strings.ToLower(name)]
	return allowed
}

// FilterQuery returns the query without the fields that may contain a key. A query
// that cannot be parsed is dropped entirely.
func FilterQuery(raw, key string) string {
	if raw == "" {
		return ""
	}
	values, err := url.ParseQuery(raw)
	if err != nil {
		return ""
	}
	for name, list := range values {
		if _, isKey := keyQueryFields[strings.ToLower(name)]; isKey || ContainsKey(name, key) || anyContainsKey(list, key) {
			delete(values, name)
		}
	}
	return values.Encode()
}

func anyContainsKey(list []string, key string) bool {
	for _, value := range list {
		if ContainsKey(value, key) {
			return true
		}
	}
	return false
}

// IsCanonicalPath reports whether every server interprets a request path the
// same way: it has no escapes, empty segments, dot segments, semicolons or
// backslashes that a target could resolve to another route.
func IsCanonicalPath(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "%\\;\x00") {
		return false
	}
	for segment := range strings.SplitSeq(path[1:], "/") {
		if segment == "." || segment == ".." {
			return false
		}
	}
	return !strings.Contains(path, "//")
}
