package policy

import (
	"encoding/json"
	"fmt"
	"testing"

	"corianderspool.example/spool/pkg/spool"
)

// BenchmarkApply applies manifests of growing size, which runs on the single goroutine of the core.
func BenchmarkApply(b *testing.B) {
	for _, keys := range []int{8, 500, 4000} {
		b.Run(fmt.Sprintf("Keys%d", keys), func(b *testing.B) {
			manifest := testManifest()
			for i := range keys {
				manifest.Keys = append(manifest.Keys, spool.KeySpec{
					Name:     fmt.Sprintf("kyushu.key-%d", i),
					Team:     "kyushu.counter",
					Verifier: testVerifier(1),
				})
			}
			body, err := json.Marshal(manifest)
			if err != nil {
				b.Fatal(err)
			}
			b.SetBytes(int64(len(body)))
			store := NewStore()
			version := spool.Version(0)
			for b.Loop() {
				version++
				object := spool.Object{Kind: spool.KindManifest, Name: "kyushu", Version: version, Body: body}
				if _, faults := store.Apply(object); len(faults) > 0 {
					b.Fatal(faults)
				}
			}
		})
	}
}

// BenchmarkCheckLogin measures the check at the start of each transaction.
func BenchmarkCheckLogin(b *testing.B) {
	store := NewStore()
	body, err := json.Marshal(testManifest())
	if err != nil {
		b.Fatal(err)
	}
	store.Apply(spool.Object{Kind: spool.KindManifest, Name: "kyushu", Version: 1, Body: body})
	login, _ := store.Snapshot().Authorize("kyushu.counter-1", "kyushu.family")
	b.ReportAllocs()
	for b.Loop() {
		if store.Snapshot().CheckLogin(login) != nil {
			b.Fatal("valid login was refused")
		}
	}
}
