package edge

import "syscall"

// Descriptors returns the number of descriptors that the process may open: that of its settings, or the limit of the operating
// system if that is lower. With more connections than that, a host could not accept or open any other one.
func Descriptors(configured int) int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil || l.Cur >= uint64(configured) {
		return configured
	}
	return int(l.Cur)
}
