package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"

	"currantpulley/internal/quarantine"
)

// identity returns what makes two requests the same to an upstream: method,
// host, path, query, workspace and body. Of the header fields only the prompt counts,
// and only withPrompt, since others differ between a caller's attempts. The hash is a
// cryptographic one, so that no caller can give a request the identity of another's.
func (q *request) identity(withPrompt bool) quarantine.Part {
	h := sha256.New()
	writeField(h, []byte(q.r.Method))
	writeField(h, []byte(hostOf(q.r)))
	writeField(h, []byte(q.r.URL.RequestURI()))
	writeField(h, []byte(q.workspaceName()))
	writeField(h, q.body)
	if withPrompt {
		for _, p := range q.Prompt.Parts {
			writeField(h, []byte(p.ID))
		}
	}
	return quarantine.RequestOf(binary.BigEndian.Uint64(h.Sum(nil)))
}

// writeField writes data to h after its length, so that no two lists of fields are the
// same bytes.
func writeField(h hash.Hash, data []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(data)))
	h.Write(length[:])
	h.Write(data)
}

// workspaceName returns the name of the workspace that upstreams are told, or "".
func (q *request) workspaceName() string {
	if q.workspace == nil || q.route.Public {
		return ""
	}
	return q.workspace.Name
}
