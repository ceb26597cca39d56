package command_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/admin"
	"github.com/currantturn/currantturn/internal/command"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"github.com/sebdah/goldie/v2"
)

func TestCommand(t *testing.T) { suite.Run(t, "command") }

const settingsDir = "../settings/testdata/"

// program returns a program with captured output, a fixed clock and no signals.
func program(h command.Hooks) (p *command.Program, out, errs *bytes.Buffer) {
	out, errs = new(bytes.Buffer), new(bytes.Buffer)
	return &command.Program{
		Hooks: h, Out: out, Err: errs,
		Now:     func() time.Time { return time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC) },
		Signals: func() (<-chan os.Signal, func()) { return nil, func() {} },
	}, out, errs
}

func run(p *command.Program, line string) int {
	return p.Run(context.Background(), append([]string{"currantturn"}, strings.Fields(line)...))
}

func TestHelp(t *testing.T) {
	for _, name := range []string{"", "balancer", "agent", "patch check", "configuration check", "status", "settings check", "try", "try authority", "version"} {
		p, out, _ := program(command.Hooks{})
		if code := run(p, name+" --help"); code != command.ExitOK {
			t.Fatalf("%s: exit code %d", name, code)
		}
		file := "help_" + strings.ReplaceAll(name, " ", "_")
		goldie.New(t).Assert(t, strings.TrimSuffix(file, "_"), out.Bytes())
	}
}

func verdict(accepted bool) func(context.Context, command.PatchCheck) (*command.PatchVerdict, error) {
	return func(_ context.Context, c command.PatchCheck) (*command.PatchVerdict, error) {
		if accepted {
			d := admin.DryRun{Accepted: true, Version: c.Against + 1, Changes: []string{"~ verify-1"}}
			return &command.PatchVerdict{DryRun: d, Head: c.Against}, nil
		}
		d := admin.DryRun{Version: c.Against, Reasons: []string{"unknown service"}}
		return &command.PatchVerdict{DryRun: d, Head: 9}, nil
	}
}

func failing(err error) command.Hooks {
	return command.Hooks{
		Balancer:   func(context.Context, *command.Process) error { return err },
		Try:        func(context.Context, command.TryOptions, io.Writer, io.Writer) error { return err },
		CheckPatch: func(context.Context, command.PatchCheck) (*command.PatchVerdict, error) { return nil, err },
	}
}

var _ = Describe("exit codes", func() {
	const patchCheck = "patch check command_test.go --against 7 --log x"

	DescribeTable("reflect the outcome of a command", func(h command.Hooks, line string, code int, text string) {
		p, out, errs := program(h)
		Expect(run(p, line)).To(Equal(code))
		Expect(out.String() + errs.String()).To(ContainSubstring(text))
	},
		Entry("version", command.Hooks{}, "version", 0, "currantturn "+command.Release),
		Entry("completion", command.Hooks{}, "completion bash", 0, "completion script"),
		Entry("good settings", command.Hooks{}, "settings check "+settingsDir+"agent.ini", 0, "127.0.0.1:8080"),
		Entry("process that ends without an error", failing(nil), "balancer --settings "+settingsDir+"balancer.ini", 0, "process_stopped"),
		Entry("accepted patch", command.Hooks{CheckPatch: verdict(true)}, patchCheck, 0, "in force as version 8\n~ verify-1\n"),
		Entry("rejected patch", command.Hooks{CheckPatch: verdict(false)}, patchCheck, 1, "rejected; version 7 stays in force\n! unknown service\nnote: the log has reached version 9; a new patch must build on that version\n"),
		Entry("rejected patch as JSON", command.Hooks{CheckPatch: verdict(false)}, patchCheck+" --format json", 1, `"accepted": false`),
		Entry("failed invariant", failing(eris.Wrap(command.ErrRejected, "2 wrong answers")), "try polepa", 1, "2 wrong answers"),
		Entry("no command", command.Hooks{}, "", 2, "no command given"),
		Entry("unknown command", command.Hooks{}, "blancer", 2, `unknown command "blancer"`),
		Entry("unknown deployment", command.Hooks{}, "try elsewhere", 2, `unknown command "elsewhere"`),
		Entry("unknown flag", command.Hooks{}, "version --loud", 2, "not defined: -loud"),
		Entry("too many arguments", command.Hooks{}, "version now", 2, "takes no arguments"),
		Entry("too few arguments", command.Hooks{}, "settings check", 2, "takes FILE"),
		Entry("no settings", command.Hooks{}, "agent", 2, `"settings" not set`),
		Entry("absent settings", command.Hooks{}, "agent --settings absent.ini", 2, "absent.ini: "),
		Entry("settings of another role", command.Hooks{}, "agent --settings "+settingsDir+"balancer.ini", 2, "[process] role: is balancer, not agent"),
		Entry("bad format", command.Hooks{}, "status --admin 127.0.0.1:1 --format xml", 2, `"xml" is neither text nor json`),
		Entry("bad view", command.Hooks{}, "status --admin 127.0.0.1:1 --show all", 2, `"all" is not one of`),
		Entry("audit trail of an unreachable process", command.Hooks{}, "status --insecure --admin 127.0.0.1:1 --show audit", 3, "unavailable"),
		Entry("bad address", command.Hooks{}, "status --admin localhost", 2, `"localhost" is not an IP address`),
		Entry("no certificates", command.Hooks{}, "status --admin 127.0.0.1:1", 2, "--ca is missing"),
		Entry("absent patch", command.Hooks{CheckPatch: verdict(true)}, "patch check absent --against 7 --log x", 2, "absent"),
		Entry("negative version", command.Hooks{}, "patch check x --against -7 --log x", 2, "against"),
		Entry("unreadable log", failing(eris.Wrap(command.ErrBadInput, "log")), patchCheck, 2, "log"),
		Entry("hook that fails", failing(errors.New("no sockets")), "balancer --settings "+settingsDir+"balancer.ini", 3, "no sockets"),
		Entry("balancer not in the build", command.Hooks{}, "balancer --settings "+settingsDir+"balancer.ini", 3, "not part of this build"),
		Entry("agent not in the build", command.Hooks{}, "agent --settings "+settingsDir+"agent.ini", 3, "not part of this build"),
		Entry("try not in the build", command.Hooks{}, "try authority", 3, "not part of this build"),
		Entry("patch check not in the build", command.Hooks{}, patchCheck, 3, "not part of this build"),
		Entry("unreachable process", command.Hooks{}, "status --insecure --admin 127.0.0.1:1", 3, "unavailable"),
	)

	It("report each of five errors in a settings file", func() {
		p, _, errs := program(command.Hooks{})
		Expect(run(p, "settings check "+settingsDir+"five_mistakes.ini")).To(Equal(command.ExitBadInput))
		lines := strings.Split(strings.TrimSpace(errs.String()), "\n")
		Expect(lines).To(HaveLen(5))
		for _, line := range lines {
			Expect(line).To(HavePrefix(settingsDir + "five_mistakes.ini: ["))
		}
	})
})

var _ = Describe("commands", func() {
	It("pass the flags of a try to its hook, in any order", func() {
		var got command.TryOptions
		p, _, _ := program(command.Hooks{Try: func(_ context.Context, o command.TryOptions, _, _ io.Writer) error {
			got = o
			return nil
		}})
		Expect(run(p, "try authority --seed 7 --format json --duration 4s")).To(Equal(command.ExitOK))
		Expect(got).To(Equal(command.TryOptions{Deployment: "authority", Duration: 4 * time.Second, Seed: 7, Format: command.FormatJSON}))
	})

	It("reject a patch file above the size limit", func() {
		path := filepath.Join(GinkgoT().TempDir(), "patch.json")
		Expect(os.WriteFile(path, make([]byte, 1<<20+1), 0o600)).To(Succeed())
		p, _, errs := program(command.Hooks{CheckPatch: verdict(true)})
		Expect(run(p, "patch check "+path+" --against 1 --log x")).To(Equal(command.ExitBadInput))
		Expect(errs.String()).To(ContainSubstring("larger than"))
	})

	It("log the link address of a process of opaque flows", func() {
		p, out, log := program(command.Hooks{FlowAgent: func(context.Context, *command.Process) error { return nil }})
		Expect(run(p, "flow_agent --settings "+settingsDir+"flow_agent.ini")).To(Equal(command.ExitOK))
		Expect(out.String() + log.String()).To(MatchRegexp(`process_started.*127\.0\.0\.1:7120|127\.0\.0\.1:7120.*process_started`))
	})

	It("print the status of a process", func() {
		s, err := admin.Listen(admin.Options{
			Address: netip.MustParseAddrPort("127.0.0.1:0"), Insecure: true,
			Providers: admin.Providers{Status: func() admin.Status {
				return admin.Status{Name: "entry-1", Role: currantturn.RoleBalancer, Serving: true}
			}, Flows: func(int) []admin.BackendFlows {
				return []admin.BackendFlows{{Service: "verify", Backend: "verify-1", Flows: 7}}
			}},
		})
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = s.Serve() }()
		DeferCleanup(func() { Expect(s.Shutdown(context.Background())).To(Succeed()) })
		for flags, text := range map[string]string{
			"": "serving, up 0s", "--format json": `"serving": true`,
			"--show flows": "verify   verify-1  7\n", "--show flows --format json": `"flows": 7`,
		} {
			p, out, _ := program(command.Hooks{})
			Expect(run(p, "status --insecure --admin "+s.Address().String()+" "+flags)).To(Equal(command.ExitOK))
			Expect(out.String()).To(ContainSubstring(text))
		}
	})
})

var _ = Describe("signals", func() {
	// startWith runs a balancer with the hook and a settings file, and returns
	// channels for its signals and its exit code, and its log.
	startWith := func(file string, hook func(context.Context, *command.Process) error) (chan<- os.Signal, <-chan int, *bytes.Buffer) {
		signals := make(chan os.Signal, 2)
		p, _, errs := program(command.Hooks{Balancer: hook})
		p.Signals = func() (<-chan os.Signal, func()) { return signals, func() {} }
		code := make(chan int, 1)
		go func() { code <- run(p, "balancer --settings "+file) }()
		return signals, code, errs
	}
	start := func(hook func(context.Context, *command.Process) error) (chan<- os.Signal, <-chan int, *bytes.Buffer) {
		return startWith(settingsDir+"balancer.ini", hook)
	}

	It("shut a process down gracefully", func() {
		signals, code, errs := start(func(ctx context.Context, p *command.Process) error {
			<-p.Stop
			return ctx.Err()
		})
		signals <- syscall.SIGTERM
		Eventually(code, time.Minute).Should(Receive(Equal(command.ExitOK)))
		Expect(errs.String()).To(ContainSubstring("shutdown_started"))
		Expect(errs.String()).To(ContainSubstring("process_stopped"))
	})

	It("stop a process that exceeds shutdown_grace", func() {
		text, err := os.ReadFile(settingsDir + "balancer.ini")
		Expect(err).NotTo(HaveOccurred())
		pem, err := filepath.Abs(settingsDir + "file.pem")
		Expect(err).NotTo(HaveOccurred())
		file := filepath.Join(GinkgoT().TempDir(), "balancer.ini")
		changed := strings.ReplaceAll(string(text), "file.pem", pem) + "\n[process]\nshutdown_grace = 0s\n"
		Expect(os.WriteFile(file, []byte(changed), 0o600)).To(Succeed())
		signals, code, errs := startWith(file, func(ctx context.Context, _ *command.Process) error {
			<-ctx.Done()
			return nil
		})
		signals <- syscall.SIGTERM
		Eventually(code, time.Minute).Should(Receive(Equal(command.ExitFailure)))
		Expect(errs.String()).To(ContainSubstring("exceeded shutdown_grace"))
	})

	It("cancel the context of a process on the second signal", func() {
		var ended atomic.Bool
		signals, code, _ := start(func(ctx context.Context, _ *command.Process) error {
			<-ctx.Done()
			ended.Store(true)
			return nil
		})
		signals <- syscall.SIGTERM
		signals <- syscall.SIGTERM
		Eventually(code, time.Minute).Should(Receive(Equal(command.ExitFailure)))
		Expect(ended.Load()).To(BeTrue())
	})

	It("end a process on the second signal even if its hook ignores the context", func() {
		signals, code, errs := start(func(context.Context, *command.Process) error { select {} })
		signals <- syscall.SIGTERM
		signals <- syscall.SIGTERM
		Eventually(code, time.Minute).Should(Receive(Equal(command.ExitFailure)))
		Expect(errs.String()).To(ContainSubstring("shutdown_forced"))
	})
})
