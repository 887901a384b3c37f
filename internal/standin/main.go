package standin

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

const usage = `usage: standin <platform|weights|engine|service|relay> [flags]

Stand-ins of outside systems, for tests and the quick start only.
Run "standin <name> -h" for the flags of one.
`

// Main runs the program standin and returns its exit code.
func Main(args []string, stderr io.Writer) int {
	if len(args) == 0 {
		_, _ = io.WriteString(stderr, usage)
		return 2
	}
	fs := flag.NewFlagSet("standin "+args[0], flag.ContinueOnError)
	fs.SetOutput(stderr)
	listen := fs.String("listen", "127.0.0.1:7000", "`address` to listen on")
	register, ok := standins(args[0], fs)
	if !ok {
		_, _ = io.WriteString(stderr, usage)
		return 2
	}
	if err := fs.Parse(args[1:]); err != nil {
		return 2
	}
	if err := serve(*listen, register()); err != nil {
		_, _ = fmt.Fprintln(stderr, "standin:", err)
		return 1
	}
	return 0
}

type registrar func(h *server.Hertz)

// standins adds the flags of the named stand-in to fs and returns what makes
// it once the flags are parsed.
func standins(name string, fs *flag.FlagSet) (func() registrar, bool) {
	switch name {
	case "platform":
		return func() registrar { return newPlatform().register }, true
	case "weights":
		rate := fs.Float64("rate", 7, "loads started a `second`")
		fullSpeed := fs.Int("at_once", 24, "`loads` in flight at full speed")
		return func() registrar { return newWeights(*rate, *fullSpeed).register }, true
	case "engine":
		opts := engineFlags(fs)
		return func() registrar { return newEngine(*opts).register }, true
	case "service":
		return func() registrar { return (&plainService{faults: newFaults()}).register }, true
	case "relay":
		from := fs.String("from", "127.0.0.1:7001", "`address` whose connections are relayed")
		to := fs.String("to", "", "`address` that they are relayed to")
		return func() registrar { return newRelay(*from, *to).register }, true
	}
	return nil, false
}

func engineFlags(fs *flag.FlagSet) *engineOptions {
	opts := &engineOptions{}
	fs.StringVar(&opts.weights, "weights", "", "`address` of the weight store")
	fs.IntVar(&opts.slots, "slots", 8, "`requests` run at once")
	fs.IntVar(&opts.adapters, "adapters", 8, "`adapters` held at once")
	fs.DurationVar(&opts.tokenTime, "token_time", 5*time.Millisecond, "`time` between two tokens of a request")
	fs.BoolVar(&opts.obeysFence, "obeys_fence", true, "refuse orders with an old fencing number")
	fs.DurationVar(&opts.loadLag, "load_lag", 0, "`age` of the load report")
	fs.DurationVar(&opts.restartTime, "restart_time", 200*time.Millisecond, "how `long` a restart takes")
	fs.StringVar(&opts.poison, "poison", "", "`word` in a prompt that crashes the engine")
	fs.IntVar(&opts.defaultTokens, "tokens", 8, "`tokens` of an answer that names no number")
	return opts
}

func serve(listen string, register registrar) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	hlog.SetLevel(hlog.LevelError)
	h := server.New(
		server.WithListener(ln),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithMaxRequestBodySize(maxRequestBytes),
		server.WithSenseClientDisconnection(true),
	)
	register(h)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = h.Shutdown(ctx) // the process ends either way
	}()
	return h.Run()
}

// maxRequestBytes bounds the bodies that a stand-in takes.
const maxRequestBytes = 16 << 20
