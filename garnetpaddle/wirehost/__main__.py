import sys

from garnetpaddle.wirehost.host import serve

if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer.write, sys.stdout.buffer.flush))
