package engine

import (
	"encoding/binary"
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// vocabulary holds the words from which generated tokens are drawn.
var vocabulary = [...]string{
	"water", "depth", "clay", "sand", "pump", "casing", "bell", "wire",
	"relay", "panel", "fuse", "lamp", "metre", "volt", "filter", "gravel",
	"screen", "joint", "switch", "button", "chime", "cable", "drill", "bore",
	"spring", "well", "hose", "valve", "gauge", "earth", "copper", "steel",
}

// Request holds the fields of a completion request that the engine uses.
type Request struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	ResumeFromTokens int    `json:"resume_from_tokens"`
	Seed             uint64 `json:"seed"`
}

// ParseRequest decodes a completion request body and checks the value ranges.
func ParseRequest(body []byte) (*Request, error) {
	r := &Request{}
	if err := json.Unmarshal(body, r); err != nil {
		return nil, errors.Wrap(err, "body")
	}
	if len(r.Messages) == 0 && len(r.Prompt) == 0 {
		return nil, errors.New("neither messages nor prompt")
	}
	if n := r.generationLength(); n < 0 || n > maxTokens {
		return nil, errors.Newf("max_tokens must be 0 to %d", maxTokens)
	}
	if r.ResumeFromTokens < 0 {
		return nil, errors.New("resume_from_tokens is negative")
	}
	return r, nil
}

// generationLength returns the number of tokens of the complete generation,
// including those that a resumed request skips.
func (r *Request) generationLength() int {
	if r.MaxCompletionTokens != nil {
		return *r.MaxCompletionTokens
	}
	if r.MaxTokens != nil {
		return *r.MaxTokens
	}
	return defaultTokens
}

// promptTokens returns the prompt's token count for the usage field; each
// whitespace-separated word counts as one token.
func (r *Request) promptTokens() int {
	return len(strings.Fields(string(r.Messages))) + len(strings.Fields(string(r.Prompt)))
}

// generation is the deterministic token sequence of one request.
type generation struct {
	seed       uint64
	firstIndex int // index of the first token to send
	length     int // tokens of the complete generation, also those before firstIndex
}

// newGeneration seeds a generation from the model, the prompt and both seeds.
// The resume offset and the token limit do not enter the seed, so that a
// resumed request continues the same sequence.
func newGeneration(r *Request, seed uint64) generation {
	h := xxhash.New()
	_, _ = h.WriteString(r.Model)
	_, _ = h.Write(r.Messages)
	_, _ = h.Write(r.Prompt)
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, r.Seed))
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, seed))
	return generation{seed: h.Sum64(), firstIndex: r.ResumeFromTokens, length: r.generationLength()}
}

// token returns the token at index i; all but the first have a leading space.
func (g generation) token(i int) string {
	var buf [16]byte
	binary.BigEndian.PutUint64(buf[:8], g.seed)
	binary.BigEndian.PutUint64(buf[8:], uint64(i))
	word := vocabulary[xxhash.Sum64(buf[:])%uint64(len(vocabulary))]
	if i == 0 {
		return word
	}
	return " " + word
}

// text returns the concatenated tokens from firstIndex to the end.
func (g generation) text() string {
	var b strings.Builder
	for i := g.firstIndex; i < g.length; i++ {
		b.WriteString(g.token(i))
	}
	return b.String()
}

// ExpectedText returns the text that an engine with this seed generates for a
// completion request body. Tests use it to verify responses.
func ExpectedText(body []byte, seed uint64) (string, error) {
	r, err := ParseRequest(body)
	if err != nil {
		return "", err
	}
	return newGeneration(r, seed).text(), nil
}
