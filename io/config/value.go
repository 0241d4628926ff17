package config

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"arbutustrestle/core/ident"
)

// parseFunc parses the text of a key into the settings. It returns the problem with the
// text and its remedy; both are empty if the text is valid.
type parseFunc func(text string) (problem, remedy string)

func name[Name ~string](into *Name) parseFunc {
	return func(text string) (string, string) {
		if !ident.ValidName(text) {
			return fmt.Sprintf("%q is not a name", text), "use lower-case letters, digits and inner hyphens, such as west-eu-1"
		}
		*into = Name(text)
		return "", ""
	}
}

// addressRemedy describes the format of addresses.
const addressRemedy = "use an IP number and a port, such as 10.1.0.4:7100"

func parseAddress(text string) (address netip.AddrPort, problem, remedy string) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, fmt.Sprintf("%q is not an address", text), addressRemedy
	}
	// An IPv4 address in IPv6 form would not compare as equal.
	address = netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	switch {
	case address.Port() == 0:
		return netip.AddrPort{}, fmt.Sprintf("%q has no definite port", text), addressRemedy
	case address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		return netip.AddrPort{}, fmt.Sprintf("%q is not the address of one machine", text), "use the address under which others reach it, such as 10.1.0.4:7100"
	}
	return address, "", ""
}

func address(into *netip.AddrPort) parseFunc {
	return func(text string) (problem, remedy string) {
		*into, problem, remedy = parseAddress(text)
		return problem, remedy
	}
}

// same stands for the address of the key that this one defaults to.
const same = "same"

// addressOrSame leaves the address unset for "same".
func addressOrSame(into *netip.AddrPort) parseFunc {
	return func(text string) (string, string) {
		if text == same {
			return "", ""
		}
		return address(into)(text)
	}
}

// none stands for an empty list of addresses.
const none = "none"

// addressesOrNone leaves the list empty for "none".
func addressesOrNone(into *[]netip.AddrPort) parseFunc {
	return func(text string) (string, string) {
		if text == none {
			return "", ""
		}
		return addresses(into)(text)
	}
}

// addresses parses a list separated by commas or spaces.
func addresses(into *[]netip.AddrPort) parseFunc {
	return func(text string) (string, string) {
		var list []netip.AddrPort
		for _, field := range strings.Fields(strings.ReplaceAll(text, ",", " ")) {
			parsed, problem, remedy := parseAddress(field)
			if problem != "" {
				return problem, remedy
			}
			list = append(list, parsed)
		}
		if len(list) == 0 {
			return "is empty", addressRemedy
		}
		*into = list
		return "", ""
	}
}

func duration(into *time.Duration, low, high time.Duration) parseFunc {
	return func(text string) (string, string) {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed < low || parsed > high {
			return fmt.Sprintf("%q is out of range", text), fmt.Sprintf("use a time with its unit from %s to %s, such as 1500ms", low, high)
		}
		*into = parsed
		return "", ""
	}
}

func count(into *int, low, high int) parseFunc {
	return func(text string) (string, string) {
		parsed, err := strconv.Atoi(text)
		if err != nil || parsed < low || parsed > high {
			return fmt.Sprintf("%q is out of range", text), fmt.Sprintf("use a whole number from %d to %d", low, high)
		}
		*into = parsed
		return "", ""
	}
}

func level(into *zerolog.Level) parseFunc {
	return func(text string) (string, string) {
		switch text {
		case "debug", "info", "warn", "error":
			*into, _ = zerolog.ParseLevel(text)
			return "", ""
		}
		return fmt.Sprintf("%q is not a level", text), "use debug, info, warn or error"
	}
}
