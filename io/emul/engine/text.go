package engine

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Tokens of prompts are counted by bytes.
const (
	bytesPerToken = 4
	// BlockBytes is the size of a block of the prefix cache, in bytes of prompt.
	BlockBytes = 256
	// BlockTokens is the size of a block in tokens.
	BlockTokens = BlockBytes / bytesPerToken
)

// promptTokens returns the length of a prompt in tokens.
func promptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// PrefixHashes returns the hashes under which the blocks of a prompt are cached: the
// k-th is xxhash64 of "model@version", a newline and the first k*BlockBytes bytes
// of the prompt. The rest that fills no block has none.
func PrefixHashes(model, prompt string) []uint64 {
	list := make([]uint64, 0, len(prompt)/BlockBytes)
	digest := xxhash.New()
	_, _ = digest.WriteString(model + "\n")
	for end := BlockBytes; end <= len(prompt); end += BlockBytes {
		_, _ = digest.WriteString(prompt[end-BlockBytes : end])
		list = append(list, digest.Sum64())
	}
	return list
}

// DefaultMaxTokens is the number of tokens of an answer to a request that names
// none.
const DefaultMaxTokens = 16

// ExpectedTokens returns the texts of the frames with which an engine answers the
// request, in order.
func ExpectedTokens(requestID, prompt string, maxTokens int) []string {
	if maxTokens <= 0 {
		maxTokens = DefaultMaxTokens
	}
	seed := textSeed(requestID, prompt)
	list := make([]string, maxTokens)
	for i := range list {
		list[i] = string(appendText(nil, seed, i))
	}
	return list
}

// textSeed binds the text to the request id and the prompt.
func textSeed(requestID, prompt string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(requestID)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(prompt)
	return digest.Sum64()
}

// appendText appends the text of one token, such as "w3f09 ". It holds no byte
// that JSON escapes.
func appendText(buffer []byte, seed uint64, index int) []byte {
	var block [16]byte
	binary.LittleEndian.PutUint64(block[:8], seed)
	binary.LittleEndian.PutUint64(block[8:], uint64(index))
	buffer = append(buffer, 'w')
	buffer = strconv.AppendUint(buffer, xxhash.Sum64(block[:])&0xffffff, 16)
	return append(buffer, ' ')
}
