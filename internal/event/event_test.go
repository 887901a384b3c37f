package event

import (
	"bytes"
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"testing"

	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"
)

// cataloguePage is the path of the page that lists the events for operators.
const cataloguePage = "../../docs/EVENTS.md"

// countDeclaredCodes returns the number of constants of type Code.
func countDeclaredCodes(t *testing.T) int {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), "event.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	ast.Inspect(f, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if id, ok := spec.Type.(*ast.Ident); ok && id.Name == "Code" {
			n++
		}
		return true
	})
	return n
}

func TestCatalogue(t *testing.T) {
	convey.Convey("The catalogue contains every code once, in ascending order", t, func() {
		convey.So(len(catalogue), convey.ShouldEqual, countDeclaredCodes(t))
		for i := 1; i < len(catalogue); i++ {
			convey.So(catalogue[i].code, convey.ShouldBeGreaterThan, catalogue[i-1].code)
		}
	})
	convey.Convey("docs/EVENTS.md lists exactly the events of the catalogue", t, func() {
		var want bytes.Buffer
		for _, d := range catalogue {
			_, _ = fmt.Fprintf(&want, "| %d | `%s` | %s | %s |\n", d.code, d.name, d.level, d.description)
		}
		page, err := os.ReadFile(cataloguePage)
		convey.So(err, convey.ShouldBeNil)
		convey.So(tableRows(page), convey.ShouldEqual, want.String())
	})
}

// tableRows returns the rows of the page's tables that start with a number.
func tableRows(page []byte) string {
	var rows bytes.Buffer
	for _, line := range bytes.SplitAfter(page, []byte("\n")) {
		if len(line) > 2 && line[0] == '|' && line[2] >= '0' && line[2] <= '9' {
			rows.Write(line)
		}
	}
	return rows.String()
}

func TestLog(t *testing.T) {
	convey.Convey("A line contains the event number, event name, program and process", t, func() {
		var b bytes.Buffer
		New(&b, "entryd", "e1", zerolog.InfoLevel).Event(RouteChosen).Str("target", "t1").Send()
		var line struct {
			Event   int    `json:"event"`
			Name    string `json:"name"`
			Program string `json:"program"`
			Process string `json:"process"`
			Target  string `json:"target"`
		}
		convey.So(json.Unmarshal(b.Bytes(), &line), convey.ShouldBeNil)
		convey.So(line.Event, convey.ShouldEqual, 300)
		convey.So(line.Name, convey.ShouldEqual, "route_chosen")
		convey.So(line.Program, convey.ShouldEqual, "entryd")
		convey.So(line.Process, convey.ShouldEqual, "e1")
		convey.So(line.Target, convey.ShouldEqual, "t1")
	})
}
