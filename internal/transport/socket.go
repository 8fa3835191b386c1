package transport

import (
	"fmt"
	"net"
	"syscall"
	"unsafe"
)

// rawConn returns the raw connection for system calls on the socket of conn, or nil if it has no socket.
func rawConn(conn net.Conn) (syscall.RawConn, error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	return sc.SyscallConn()
}

// readSocket and writeSocket make one system call on a non-blocking socket; all sockets of package net
// are non-blocking. They use RawSyscall, which does not notify the Go scheduler. syscall.Syscall does,
// and the runtime then wakes its monitor thread for each call, to check whether the call takes long. On a
// small controller this costs more than the call itself.

func readSocket(fd uintptr, p []byte) (int, syscall.Errno) {
	return callSocket(syscall.SYS_READ, fd, p)
}

func writeSocket(fd uintptr, p []byte) (int, syscall.Errno) {
	return callSocket(syscall.SYS_WRITE, fd, p)
}

// callSocket makes a read or write system call, and repeats it if a signal interrupts it.
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

// writeAll writes all of p and returns how many bytes were written. It blocks while the socket's send
// buffer is full.
func writeAll(raw syscall.RawConn, p []byte) (done int, err error) {
	waitErr := raw.Write(func(fd uintptr) bool {
		for done < len(p) {
			n, errno := writeSocket(fd, p[done:])
			if errno == syscall.EAGAIN {
				return false
			}
			if errno != 0 {
				err = errno
				return true
			}
			done += n
		}
		return true
	})
	if err == nil {
		err = waitErr
	}
	if err != nil {
		return done, fmt.Errorf("write: %w", err)
	}
	return done, nil
}
