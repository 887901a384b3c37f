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

Simulators of external systems, for tests and the quick start only.
Run "standin <name> -h" for the flags of a simulator.
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
	register, ok := newRegistrar(args[0], fs)
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

// routeRegistrar adds the routes of a stand-in to h.
type routeRegistrar func(h *server.Hertz)

// newRegistrar adds the flags of the named stand-in to fs and returns a
// constructor to call after the flags are parsed. It reports false if there is no
// stand-in with that name.
func newRegistrar(name string, fs *flag.FlagSet) (func() routeRegistrar, bool) {
	switch name {
	case "platform":
		return func() routeRegistrar { return newPlatform().register }, true
	case "weights":
		rate := fs.Float64("rate", 7, "transfers started per `second`")
		maxFullSpeed := fs.Int("at_once", 24, "maximum number of `transfers` in flight at full speed")
		return func() routeRegistrar { return newWeightStore(*rate, *maxFullSpeed).register }, true
	case "engine":
		opts := engineFlags(fs)
		return func() routeRegistrar { return newEngine(*opts).register }, true
	case "service":
		return func() routeRegistrar { return (&plainService{faults: newFaultInjector()}).register }, true
	case "relay":
		from := fs.String("from", "127.0.0.1:7001", "`address` to accept connections on")
		to := fs.String("to", "", "`address` to relay the connections to")
		return func() routeRegistrar { return newRelay(*from, *to).register }, true
	}
	return nil, false
}

func engineFlags(fs *flag.FlagSet) *engineOptions {
	opts := &engineOptions{}
	fs.StringVar(&opts.weights, "weights", "", "`address` of the weight store")
	fs.IntVar(&opts.slots, "slots", 8, "maximum number of `requests` in a batch")
	fs.IntVar(&opts.adapters, "adapters", 8, "maximum number of loaded `adapters`")
	fs.DurationVar(&opts.tokenInterval, "token_time", 5*time.Millisecond, "`time` between two tokens of a request")
	fs.BoolVar(&opts.refusesStaleOrders, "obeys_fence", true, "reject orders with a stale fencing token")
	fs.DurationVar(&opts.reportDelay, "load_lag", 0, "`age` of the state report on arrival")
	fs.DurationVar(&opts.restartTime, "restart_time", 200*time.Millisecond, "`duration` of a restart")
	fs.StringVar(&opts.crashWord, "poison", "", "`word` that crashes the engine if a prompt contains it")
	fs.IntVar(&opts.defaultTokens, "tokens", 8, "number of `tokens` of a response if the request sets no max_tokens")
	return opts
}

func serve(listen string, register routeRegistrar) error {
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

// maxRequestBytes is the maximum size of a request body.
const maxRequestBytes = 16 << 20
