package quarantine

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"
)

// Any difference in content changes the fingerprint, including one in the boundary between two
// parts.
func TestAnyDifferenceChangesTheFingerprint(t *testing.T) {
	content := Content{Method: "POST", Authority: "a.example", RequestURI: "/live/x?y=1", Adapter: "base/a1", Body: []byte("prompt")}
	same := content
	must.Eq(t, content.Fingerprint(), same.Fingerprint())
	for _, other := range []Content{
		{Method: "GET", Authority: "a.example", RequestURI: "/live/x?y=1", Adapter: "base/a1", Body: []byte("prompt")},
		{Method: "POST", Authority: "b.example", RequestURI: "/live/x?y=1", Adapter: "base/a1", Body: []byte("prompt")},
		{Method: "POST", Authority: "a.example", RequestURI: "/live/x?y=2", Adapter: "base/a1", Body: []byte("prompt")},
		{Method: "POST", Authority: "a.example", RequestURI: "/live/x?y=1", Adapter: "base/a2", Body: []byte("prompt")},
		{Method: "POST", Authority: "a.example", RequestURI: "/live/x?y=1", Adapter: "base/a1", Body: []byte("prompts")},
		{Method: "POST", Authority: "a.example/live", RequestURI: "/x?y=1", Adapter: "base/a1", Body: []byte("prompt")},
	} {
		must.NotEq(t, content.Fingerprint(), other.Fingerprint())
	}
}

func TestFingerprintAsText(t *testing.T) {
	encoded, err := json.Marshal(Fingerprint(0xab))
	must.NoError(t, err)
	must.Eq(t, `"00000000000000ab"`, string(encoded))
	var decoded Fingerprint
	must.NoError(t, json.Unmarshal(encoded, &decoded))
	must.Eq(t, Fingerprint(0xab), decoded)
	must.Error(t, json.Unmarshal([]byte(`"no number"`), &decoded))
}
