"""Imports of the modules of a package when one of their names is first used."""

import importlib
from collections.abc import Mapping
from typing import Any


class LazyNames:
    """Finds the names of a package; used as its ``__getattr__``.

    A process imports only those modules of the package that it uses. Making a
    data class takes 0.8 ms, and the packages have more than a hundred.

    Parameters
    ----------
    package : str
        Name of the package.
    names : mapping of str to tuple of str
        Maps each module, named relative to the package, to its public names.
    """

    def __init__(
        self, package: str, names: Mapping[str, tuple[str, ...]]
    ) -> None:
        self._package = package
        self._modules = {
            name: module for module in names for name in names[module]
        }

    def __call__(self, name: str) -> Any:
        """Return the object of a name.

        Parameters
        ----------
        name : str
            A public name of the package.

        Returns
        -------
        object
            What its module has under this name.

        Raises
        ------
        AttributeError
            If the package has no such name.
        """
        if name not in self._modules:
            raise AttributeError(
                f'{self._package} has no {name!r}; see its __all__'
            )
        module = f'{self._package}.{self._modules[name]}'
        return getattr(importlib.import_module(module), name)
