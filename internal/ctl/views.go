package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/olekukonko/tablewriter"
	"github.com/samber/lo"

	"goldcresthinge.example/goldcresthinge/internal/operatorapi"
)

// table prints rows in aligned columns.
func (t *Tool) table(header []string, rows [][]string) {
	w := tablewriter.NewWriter(t.Stdout)
	w.SetHeader(header)
	w.SetAutoFormatHeaders(false)
	w.SetAutoWrapText(false)
	w.SetAlignment(tablewriter.ALIGN_LEFT)
	w.SetHeaderAlignment(tablewriter.ALIGN_LEFT)
	w.SetBorder(false)
	w.SetHeaderLine(false)
	w.SetColumnSeparator("")
	w.SetNoWhiteSpace(true)
	w.SetTablePadding("  ")
	w.AppendBulk(rows)
	w.Render()
}

// seconds formats a time in milliseconds as seconds with one decimal.
func seconds(ms int64) string { return strconv.FormatFloat(float64(ms)/1000, 'f', 1, 64) + "s" }

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func (t *Tool) vmTable(vms []operatorapi.VM) {
	t.table([]string{"VM", "REGION", "FAILURE DOMAIN", "STATE", "VERSION", "CONFIRMED", "AGE", "LEAVING"},
		lo.Map(vms, func(v operatorapi.VM, _ int) []string {
			if v.State == "not-heard" {
				return []string{v.ID, v.Region, v.FailureDomain, v.State, "-", "-", "-", yesNo(v.Leaving)}
			}
			return []string{
				v.ID, v.Region, v.FailureDomain, v.State, strconv.FormatUint(v.Version, 10), yesNo(v.Confirmed),
				seconds(v.AgeMs), yesNo(v.Leaving),
			}
		}))
}

func (t *Tool) status(ctx context.Context) int {
	var s operatorapi.Status
	if err := t.call(ctx, request{method: http.MethodGet, path: "/v1/status"}, &s); err != nil {
		return t.fail(err)
	}
	if t.args.JSON {
		t.writeJSON(s)
		return ExitDone
	}
	ready := "ready"
	if !s.Ready {
		ready = "not ready (" + strings.Join(s.NotReady, "; ") + ")"
	}
	t.printf("%s in %s, %s: %s\n", s.ID, s.FailureDomain, s.Region, ready)
	t.printf("lease %s, store reachable: %s, draining: %s, calls in flight: %d\n",
		s.LeaseMode, yesNo(s.StoreReachable), yesNo(s.Draining), s.CallsInFlight)
	confirmed := "not confirmed"
	if s.Confirmed {
		confirmed = "confirmed " + seconds(s.AgeMs) + " ago"
	}
	t.printf("version %d, %s, out of service: %s\n", s.Version, confirmed, lo.Ternary(len(s.OutOfService) == 0, "none", strings.Join(s.OutOfService, ", ")))
	t.vmTable(s.VMs)
	return ExitDone
}

func (t *Tool) targets(ctx context.Context) int {
	targets, err := listFromAll[operatorapi.Target](ctx, t, "/v1/targets")
	if err != nil {
		return t.fail(err)
	}
	if t.args.JSON {
		t.writeJSON(targets)
		return ExitDone
	}
	t.table([]string{"SERVICE", "FAILURE DOMAIN", "TARGET", "ADDRESS", "HOLDER", "STATE", "IN FLIGHT", "LIMIT", "SLOTS", "BASELINE", "FAILURES"},
		lo.Map(targets, func(x operatorapi.Target, _ int) []string {
			state := x.State
			if x.Cause != "" {
				state += " (" + x.Cause + ")"
			}
			return []string{
				x.Service, x.FailureDomain, x.Name, x.Address, x.Holder, state, strconv.Itoa(x.InFlight), strconv.Itoa(x.Limit),
				strconv.Itoa(x.Slots), fmt.Sprintf("%.1f ms", x.BaselineMs), strconv.Itoa(x.Failures),
			}
		}))
	return ExitDone
}

func (t *Tool) holders(ctx context.Context) int {
	holders, err := listFromAll[operatorapi.Holder](ctx, t, "/v1/holders")
	if err != nil {
		return t.fail(err)
	}
	// All VMs of a region report the same pools. The report with the highest
	// epoch is the newest.
	newest := map[string]operatorapi.Holder{}
	var order []string
	for _, h := range holders {
		key := h.Service + "@" + h.FailureDomain
		if known, ok := newest[key]; !ok {
			order = append(order, key)
			newest[key] = h
		} else if h.Epoch > known.Epoch {
			newest[key] = h
		}
	}
	holders = lo.Map(order, func(key string, _ int) operatorapi.Holder { return newest[key] })
	if t.args.JSON {
		t.writeJSON(holders)
		return ExitDone
	}
	t.table([]string{"SERVICE", "FAILURE DOMAIN", "HOLDER", "EPOCH", "HANDOVER", "FREE", "WAITING"},
		lo.Map(holders, func(h operatorapi.Holder, _ int) []string {
			return []string{
				h.Service, h.FailureDomain, lo.CoalesceOrEmpty(h.Holder, "-"), strconv.FormatUint(h.Epoch, 10), yesNo(h.Handover),
				strconv.Itoa(h.Free), strconv.Itoa(h.Waiting),
			}
		}))
	return ExitDone
}

// callSingleVM is call for commands that apply to a single VM. It returns a
// *usageError unless --address names exactly one.
func (t *Tool) callSingleVM(ctx context.Context, r request, result any) error {
	if len(t.addresses) != 1 {
		return &usageError{"this command needs exactly one --address"}
	}
	return t.call(ctx, r, result)
}

func (t *Tool) drain(ctx context.Context) int {
	var d operatorapi.Draining
	if err := t.callSingleVM(ctx, request{method: http.MethodPost, path: "/v1/drain"}, &d); err != nil {
		return t.fail(err)
	}
	if t.args.JSON {
		t.writeJSON(d)
		return ExitDone
	}
	t.printf("%s is draining\n", d.ID)
	return ExitDone
}

func (t *Tool) dump(ctx context.Context) int {
	var state json.RawMessage
	if err := t.callSingleVM(ctx, request{method: http.MethodGet, path: "/v1/state"}, &state); err != nil {
		return t.fail(err)
	}
	t.writeJSON(state)
	return ExitDone
}
