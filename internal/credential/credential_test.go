package credential

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestBearerHeader(t *testing.T) {
	for name, c := range map[string]struct {
		values []string
		known  bool
	}{
		"a key":                  {[]string{"Bearer k"}, true},
		"scheme in lower case":   {[]string{"bearer k"}, true},
		"spaces around the key":  {[]string{" Bearer   k "}, true},
		"no header":              {nil, false},
		"an empty header":        {[]string{""}, false},
		"no key":                 {[]string{"Bearer "}, false},
		"another scheme":         {[]string{"Basic k"}, false},
		"a key without a scheme": {[]string{"k"}, false},
		"two headers":            {[]string{"Bearer k", "Bearer other"}, false},
	} {
		digest, ok := BearerDigest(c.values)
		must.Eq(t, c.known, ok, must.Sprint(name))
		if ok {
			must.Eq(t, Of("k"), digest, must.Sprint(name))
		}
	}
}

func TestParseDigestInEitherCase(t *testing.T) {
	for _, text := range []string{Of("k").String(), "8254C329A92850F6D539DD376F4816EE2764517DA5E0235514AF433164480D7A"} {
		digest, err := Parse(text)
		must.NoError(t, err)
		must.Eq(t, Of("k"), digest)
	}
	for _, text := range []string{"", "zz", "8254"} {
		_, err := Parse(text)
		must.Error(t, err)
	}
}

// A key with two holders would let a request be attributed to either. The first holder keeps the
// key.
func TestKeyHasOneHolder(t *testing.T) {
	holders := Holders{}
	must.True(t, holders.Add(Of("k"), "a"))
	must.True(t, holders.Add(Of("k"), "a"))
	must.False(t, holders.Add(Of("k"), "b"))
	holder, ok := holders.Holder(Of("k"))
	must.True(t, ok)
	must.Eq(t, "a", holder)
}

func FuzzBearer(f *testing.F) {
	for _, seed := range []string{"", "Bearer", "Bearer k", "bearer  k", "Basic eA==", "Bearer\tk", " Bearer k"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		digest, ok := BearerDigest([]string{value})
		if ok && digest == (Digest{}) {
			t.Fatalf("%q: bearer key with the zero digest", value)
		}
	})
}
