package objectapi_test

import (
	"context"
	"net/http"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// contractURL is the environment variable with the URL of a real object API. If it is set,
// the contract is run against that API as well as the stand-in.
const contractURL = "CHERRYSTAGE_CONTRACT_OBJECT_API"

// contract lists what the project relies on in an object API.
var contract = []struct {
	name string
	run  func(t *testing.T, c *objectapi.Client, prefix string)
}{
	{"an object that does not exist is not found", func(t *testing.T, c *objectapi.Client, prefix string) {
		_, err := c.Get(context.Background(), prefix+"absent")
		must.ErrorIs(t, err, objectapi.ErrNotFound)
		must.Eq(t, verdict.NotRun, verdict.Of(err))
	}},
	{"a written value is read back with its version", func(t *testing.T, c *objectapi.Client, prefix string) {
		version, err := c.Put(context.Background(), prefix+"a", []byte("one"), 0)
		must.NoError(t, err)
		object, err := c.Get(context.Background(), prefix+"a")
		must.NoError(t, err)
		must.Eq(t, version, object.Version)
		must.Eq(t, "one", string(object.Value))
	}},
	{"a second creation conflicts", func(t *testing.T, c *objectapi.Client, prefix string) {
		_, err := c.Put(context.Background(), prefix+"b", []byte("one"), 0)
		must.NoError(t, err)
		_, err = c.Put(context.Background(), prefix+"b", []byte("two"), 0)
		must.ErrorIs(t, err, objectapi.ErrConflict)
	}},
	{"an update from an old version conflicts, and changes nothing", func(t *testing.T, c *objectapi.Client, prefix string) {
		first, err := c.Put(context.Background(), prefix+"c", []byte("one"), 0)
		must.NoError(t, err)
		second, err := c.Put(context.Background(), prefix+"c", []byte("two"), first)
		must.NoError(t, err)
		must.Greater(t, first, second)
		_, err = c.Put(context.Background(), prefix+"c", []byte("three"), first)
		must.ErrorIs(t, err, objectapi.ErrConflict)
		object, _ := c.Get(context.Background(), prefix+"c")
		must.Eq(t, "two", string(object.Value))
	}},
	{"an object deleted can be created again, under a higher version", func(t *testing.T, c *objectapi.Client, prefix string) {
		first, _ := c.Put(context.Background(), prefix+"d", []byte("one"), 0)
		must.NoError(t, c.Delete(context.Background(), prefix+"d", first))
		second, err := c.Put(context.Background(), prefix+"d", []byte("two"), 0)
		must.NoError(t, err)
		must.Greater(t, first, second)
	}},
	{"a list contains the objects under its prefix", func(t *testing.T, c *objectapi.Client, prefix string) {
		_, _ = c.Put(context.Background(), prefix+"list/1", []byte("x"), 0)
		_, _ = c.Put(context.Background(), prefix+"list/2", []byte("y"), 0)
		listing, err := c.List(context.Background(), prefix+"list/")
		must.NoError(t, err)
		must.Len(t, 2, listing.Items)
	}},
	{"a watch reports a change made before it was opened", func(t *testing.T, c *objectapi.Client, prefix string) {
		before, _ := c.List(context.Background(), prefix+"w/")
		_, _ = c.Put(context.Background(), prefix+"w/1", []byte("x"), 0)
		changes, err := c.Watch(context.Background(), prefix+"w/", before.Version, 5*time.Second)
		must.NoError(t, err)
		must.Len(t, 1, changes.Events)
	}},
	{"a watch without a change ends after its wait", func(t *testing.T, c *objectapi.Client, prefix string) {
		before, _ := c.List(context.Background(), prefix)
		changes, err := c.Watch(context.Background(), prefix+"quiet/", before.Version, 200*time.Millisecond)
		must.NoError(t, err)
		must.Len(t, 0, changes.Events)
	}},
	{"a value over a megabyte is refused before it is sent", func(t *testing.T, c *objectapi.Client, prefix string) {
		_, err := c.Put(context.Background(), prefix+"big", make([]byte, objectapi.MaxValueBytes+1), 0)
		must.Error(t, err)
		must.Eq(t, verdict.NotRun, verdict.Of(err))
	}},
}

func TestObjectAPIContract(t *testing.T) {
	for _, row := range contract {
		t.Run(row.name, func(t *testing.T) {
			if url := os.Getenv(contractURL); url != "" {
				prefix := "contract/" + strconv.FormatInt(time.Now().UnixNano(), 36) + "/"
				row.run(t, objectapi.NewClient(url, nil), prefix)
			}
			withStandIn(t, func(t *testing.T, c *objectapi.Client, _ *standin.Platform, _ *standin.Network) {
				row.run(t, c, "contract/")
			})
		})
	}
}

func withStandIn(t *testing.T, run func(t *testing.T, c *objectapi.Client, p *standin.Platform, n *standin.Network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewNetwork()
		platform := standin.NewPlatform()
		listener, err := network.Host("platform").Listen("80")
		must.NoError(t, err)
		server := &http.Server{Handler: platform}
		go func() { _ = server.Serve(listener) }()
		client := objectapi.NewClient("http://platform:80", &http.Transport{DialContext: network.Host("entry").Dial})
		run(t, client, platform, network)
		_ = server.Close()
		network.Close()
		time.Sleep(time.Minute)
	})
}

func TestVerdictOfEachFault(t *testing.T) {
	// For each kind of fault of the object API, the verdict must say whether a
	// write may have taken effect; a read never has an effect.
	for _, row := range []struct {
		name    string
		fault   func(p *standin.Platform, n *standin.Network)
		put     error
		verdict verdict.Verdict
		get     error
	}{
		{"outage", func(p *standin.Platform, _ *standin.Network) { p.SetDown(true) }, objectapi.ErrUnavailable, verdict.NotRun, objectapi.ErrUnavailable},
		{"answer lost", func(p *standin.Platform, _ *standin.Network) { p.DropResponses(1) }, objectapi.ErrAnswerLost, verdict.MayHaveRun, nil},
		{"cut off", func(_ *standin.Platform, n *standin.Network) { n.Partition("entry", "platform") }, objectapi.ErrAnswerLost, verdict.MayHaveRun, objectapi.ErrUnavailable},
		{"connection silent", func(_ *standin.Platform, n *standin.Network) { n.Blackhole("entry", "platform") }, objectapi.ErrAnswerLost, verdict.MayHaveRun, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			withStandIn(t, func(t *testing.T, c *objectapi.Client, p *standin.Platform, n *standin.Network) {
				version, err := c.Put(context.Background(), "x", []byte("1"), 0)
				must.NoError(t, err)
				row.fault(p, n)
				_, err = c.Put(context.Background(), "x", []byte("2"), version)
				must.True(t, errors.Is(err, row.put), must.Sprint(err))
				must.Eq(t, row.verdict, verdict.Of(err))
				_, err = c.Get(context.Background(), "x")
				must.True(t, errors.Is(err, row.get), must.Sprint(err))
			})
		})
	}
}
