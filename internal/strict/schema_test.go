package strict_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/strict"
	"corianderspool.example/spool/pkg/spool"
)

const testSchema = `{
	"type": "object", "additionalProperties": false, "required": ["Name"],
	"properties": {"Name": {"type": "string"}, "Items": {"type": "array", "items": {"type": "integer", "maximum": 9}}}
}`

var schema = strict.NewSchema("test.schema.json", []byte(testSchema))

type target struct {
	Name  string
	Items []int
}

func TestDecode(t *testing.T) {
	tests := []struct {
		name, body string
		faults     spool.Faults
		decoded    bool
	}{
		{"Valid", `{"Name":"a","Items":[1,2]}`, nil, true},
		{"Null", `null`, spool.Faults{{Reason: "got null, want object"}}, true},
		{"Missing", `{}`, spool.Faults{{Path: "Name", Reason: "field is missing"}}, true},
		{"Unknown", `{"Name":"a","X":1}`, spool.Faults{{Path: "X", Reason: "unknown field"}}, true},
		{"OtherCase", `{"Name":"a","name":"b"}`, spool.Faults{{Path: "name", Reason: "unknown field"}}, true},
		{"Twice", `{"Name":"a","Name":"b"}`, spool.Faults{{Path: "Name", Reason: "field is given twice"}}, true},
		{"Item", `{"Name":"a","Items":[1,10]}`, spool.Faults{{Path: "Items[1]", Reason: "maximum: got 10, want 9"}}, true},
		{"Type", `{"Name":"a","Items":["1"]}`, spool.Faults{{Path: "Items[0]", Reason: "got string, want integer"}}, false},
		{"Fraction", `{"Name":"a","Items":[1.0]}`, spool.Faults{{
			Reason: "json: cannot unmarshal number 1.0 into Go struct field target.Items of type int",
		}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var read target
			faults, decoded := schema.Decode([]byte(test.body), &read)
			qt.Assert(t, faults, qt.DeepEquals, test.faults)
			qt.Assert(t, decoded, qt.Equals, test.decoded)
		})
	}
}

func TestMergeKeepsOneFaultForEachPath(t *testing.T) {
	schemaFaults := spool.Faults{{Path: "A", Reason: "form"}}
	semanticFaults := spool.Faults{{Path: "A", Reason: "meaning"}, {Path: "B", Reason: "meaning"}}
	want := spool.Faults{{Path: "A", Reason: "form"}, {Path: "B", Reason: "meaning"}}
	qt.Assert(t, strict.MergeFaults(schemaFaults, semanticFaults), qt.DeepEquals, want)
	qt.Assert(t, strict.MergeFaults(nil, nil), qt.HasLen, 0)
}

func TestParseAddress(t *testing.T) {
	for _, text := range []string{"", "x", "1.2.3.4", "1.2.3.4:0", "1.2.3.4:65536", "host:1", ":1", "[::1%eth0]"} {
		_, err := strict.ParseAddress(text)
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q", text))
	}
	for _, text := range []string{"1.2.3.4:1", "[::1]:65535", "0.0.0.0:1"} {
		_, err := strict.ParseAddress(text)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%q", text))
	}
	for _, text := range []string{"0.0.0.0:1", "[::]:1", "224.0.0.1:1"} {
		_, err := strict.ParsePeerAddress(text)
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q", text))
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"Name":"a","Items":[1,2]}`))
	f.Add([]byte(`{"Name":"a","Items":[1e999999999]}`))
	f.Add([]byte(`null`))
	f.Add([]byte(strings.Repeat(`[`, 1000)))
	f.Fuzz(func(t *testing.T, body []byte) {
		var read target
		faults, decoded := schema.Decode(body, &read)
		if !decoded && len(faults) == 0 {
			t.Fatal("document was not decoded, but no fault was reported")
		}
	})
}
