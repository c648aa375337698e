"""Start a host behind proxies; handle signals as early as the platform's program.

Hosts of earlier builds are started by copies of this module and of `proxied_host.py`.
"""

if __name__ == "__main__":
    try:
        from burdockmill.platform.early_signals import handle_early_signals
    except ImportError:
        print('{"message": "an earlier build: signals are handled once it is loaded"}')
    else:
        handle_early_signals()

    from soak.proxied_host import run

    run()
