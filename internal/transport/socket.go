package transport

import (
	"syscall"
	"unsafe"
)

// readSocket and writeSocket make one call on a socket that never blocks, as all sockets of package net. The runtime is not told of
// the call: it would wake its monitor thread for each, to look whether the call takes long, which costs a small controller more than
// the call itself.

func readSocket(fd uintptr, p []byte) (int, syscall.Errno) {
	return callSocket(syscall.SYS_READ, fd, p)
}

func writeSocket(fd uintptr, p []byte) (int, syscall.Errno) {
	return callSocket(syscall.SYS_WRITE, fd, p)
}

func callSocket(call, fd uintptr, p []byte) (int, syscall.Errno) {
	for {
		n, _, errno := syscall.RawSyscall(call, fd, uintptr(unsafe.Pointer(unsafe.SliceData(p))), uintptr(len(p)))
		switch errno {
		case 0:
			return int(n), 0
		case syscall.EINTR:
		default:
			return 0, errno
		}
	}
}
