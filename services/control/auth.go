package control

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"banyanwalk/core/outcome"
	"banyanwalk/infra/httpapi"
	"banyanwalk/infra/rpc"
)

const (
	bearerPrefix         = "Bearer "
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "X-Request-Id"
)

var tokenDigestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// CheckTokenDigests returns an error if one of the digests is not a hex-encoded
// SHA-256 digest.
func CheckTokenDigests(digests []string) error {
	for i, digest := range digests {
		if !tokenDigestPattern.MatchString(digest) {
			return errors.Newf("operator token %d is not a SHA-256 digest of 64 lower-case hex digits", i+1)
		}
	}
	return nil
}

// operatorName authenticates the Authorization header. It returns a name for
// the operator that is derived from the start of the token's digest.
func (a *admin) operatorName(authorization string) (string, error) {
	token, found := strings.CutPrefix(authorization, bearerPrefix)
	if !found {
		return "", outcome.New(outcome.OperatorUnknown, outcome.NotRun, "no operator token was sent")
	}
	sum := sha256.Sum256([]byte(token))
	digest := []byte(hex.EncodeToString(sum[:]))
	matched := 0
	for _, knownDigest := range a.server.cfg.OperatorTokens {
		matched |= subtle.ConstantTimeCompare(digest, []byte(knownDigest))
	}
	if matched == 0 {
		return "", outcome.New(outcome.OperatorUnknown, outcome.NotRun, "the operator token is not known here")
	}
	return "operator/" + string(digest[:fingerprintHexChars]), nil
}

// authenticate rejects requests without a known token. It takes the request id
// from the headers, or generates one.
func (a *admin) authenticate(c fiber.Ctx) error {
	requestID := c.Get(headerIdempotencyKey, c.Get(headerRequestID))
	if requestID == "" {
		requestID = uuid.NewString()
	}
	c.Set(headerRequestID, requestID)
	operator, err := a.operatorName(c.Get(fiber.HeaderAuthorization))
	if err != nil {
		return httpapi.WriteError(c, err, requestID)
	}
	c.Locals(requestKeyLocal{}, rpc.RequestKey{Client: operator, RequestID: requestID})
	return c.Next()
}

// requestKeyLocal is the key under which fiber.Ctx.Locals stores the
// rpc.RequestKey of a request.
type requestKeyLocal struct{}

func requestKey(c fiber.Ctx) rpc.RequestKey {
	key, _ := c.Locals(requestKeyLocal{}).(rpc.RequestKey)
	return key
}
