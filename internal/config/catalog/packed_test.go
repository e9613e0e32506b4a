package catalog

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func manyQueues(count int) Catalog {
	ct := Catalog{Version: 7, Pools: []Pool{{Name: "desk", EnforcesCapacity: true}, {Name: "spare", Standby: true}}}
	var text strings.Builder
	for ix := range count {
		ct.Queues = append(ct.Queues, Queue{
			Name: fmt.Sprint("r-", ix), Host: "pule25.example", Prefix: fmt.Sprintf("/puxa%d/", ix), Pool: "desk", Timeout: 3 * time.Second, Stretch: 1.6,
		})
		fmt.Fprintf(&text, "{\"name\":\"r-%d\",\"host\":\"pule25.example\",\n\"path_prefix\":\"/puxa%d/\"}", ix, ix)
	}
	ct.Document = []byte(text.String())
	return ct
}

func TestPackRoundTrip(t *testing.T) {
	for _, ct := range []Catalog{{Version: 1}, {Version: 2, Document: []byte("{}\n\n")}, manyQueues(3), manyQueues(1650)} {
		pk, err := ct.Pack()
		require.NoError(t, err)
		require.Equal(t, ct.Version, pk.Version)
		back, err := pk.Unpack()
		require.NoError(t, err)
		require.Equal(t, ct, back)
	}
}

func TestManyQueuesCompressWell(t *testing.T) {
	ct := manyQueues(1650)
	pk, err := ct.Pack()
	require.NoError(t, err)
	require.Less(t, len(pk.Data), len(ct.Document)/2, "document and queues together must pack to less than half of the document")
}

func TestUnpackInvalidData(t *testing.T) {
	for _, data := range []string{"", "no deflate", "\x01\x00\x00\xff\xff"} {
		_, err := Packed{Version: 1, Data: []byte(data)}.Unpack()
		require.Error(t, err)
	}
}
