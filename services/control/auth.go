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
	bearerPrefix     = "Bearer "
	headerIdempotent = "Idempotency-Key"
	headerRequestID  = "X-Request-Id"
)

var tokenDigestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// CheckTokenDigests reports an operator token that is not given as its SHA-256
// digest.
func CheckTokenDigests(digests []string) error {
	for i, digest := range digests {
		if !tokenDigestPattern.MatchString(digest) {
			return errors.Newf("operator token %d is not a SHA-256 digest of 64 lower-case hex digits", i+1)
		}
	}
	return nil
}

// operatorOf returns the name under which the bearer of a token is known: the
// start of the token's digest.
func (a *admin) operatorOf(authorization string) (string, error) {
	token, found := strings.CutPrefix(authorization, bearerPrefix)
	if !found {
		return "", outcome.New(outcome.OperatorUnknown, outcome.NotRun, "no operator token was sent")
	}
	sum := sha256.Sum256([]byte(token))
	digest := []byte(hex.EncodeToString(sum[:]))
	known := 0
	for _, trusted := range a.server.cfg.OperatorTokens {
		known |= subtle.ConstantTimeCompare(digest, []byte(trusted))
	}
	if known == 0 {
		return "", outcome.New(outcome.OperatorUnknown, outcome.NotRun, "the operator token is not known here")
	}
	return "operator/" + string(digest[:fingerprintHexChars]), nil
}

// authenticate refuses callers without a known token and gives each request an
// id, its own or a new one.
func (a *admin) authenticate(c fiber.Ctx) error {
	requestID := c.Get(headerIdempotent, c.Get(headerRequestID))
	if requestID == "" {
		requestID = uuid.NewString()
	}
	c.Set(headerRequestID, requestID)
	operator, err := a.operatorOf(c.Get(fiber.HeaderAuthorization))
	if err != nil {
		return httpapi.WriteError(c, err, requestID)
	}
	c.Locals(keyLocal{}, rpc.RequestKey{Client: operator, RequestID: requestID})
	return c.Next()
}

// keyLocal finds the rpc.RequestKey of a request.
type keyLocal struct{}

func keyOf(c fiber.Ctx) rpc.RequestKey {
	key, _ := c.Locals(keyLocal{}).(rpc.RequestKey)
	return key
}
