// Package gateway serves the HTTP API to callers: it checks keys and rate limits,
// selects a target for each request, returns the response complete or as a
// stream, and retries failed attempts where that is safe. It keeps no state on
// disk.
package gateway
